// Package requestlog turns the relay's decisions into structured log lines and metrics. Failed and
// served requests are logged up to separate rates, failed ones up to a higher one; beyond the
// rates, lines are only counted. Ejections of backends are always logged.
package requestlog

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/relay"
)

// Maximum log lines per second.
const (
	servedRate  = 5
	failureRate = 50
)

// Recorder implements relay.Observer.
type Recorder struct {
	log      logrus.FieldLogger
	counters *Counters
	served   *rate.Limiter
	failures *rate.Limiter
}

// New returns a Recorder that writes to a logger and counters.
func New(log logrus.FieldLogger, counters *Counters) *Recorder {
	return &Recorder{
		log:      log,
		counters: counters,
		served:   rate.NewLimiter(servedRate, servedRate),
		failures: rate.NewLimiter(failureRate, failureRate),
	}
}

var _ relay.Observer = (*Recorder)(nil)

// Refused implements relay.Observer.
func (r *Recorder) Refused(request *relay.Request, completion *relay.Completion, refusal relay.Refusal) {
	r.counters.refused(refusal)
	r.counters.countTenantLimit(completion)
	if completion != nil {
		r.counters.countReplacedWeights(completion.Attempt.Replaced)
	}
	if !r.failures.Allow() {
		r.counters.unlogged()
		return
	}
	fields := logrus.Fields{"request": request.ID, "outcome": refusal.Kind, "reason": refusal.Reason}
	addRequest(fields, request)
	addCompletion(fields, completion)
	r.log.WithFields(fields).Warn("A request was refused.")
}

// Served implements relay.Observer.
func (r *Recorder) Served(request *relay.Request, completion *relay.Completion) {
	r.counters.served(completion)
	r.counters.countTenantLimit(completion)
	r.counters.countReplacedWeights(completion.Attempt.Replaced)
	limiter := r.served
	if completion.Cut != "" || completion.Attempt.Replaced.BegunLate() {
		limiter = r.failures
	}
	if !limiter.Allow() {
		r.counters.unlogged()
		return
	}
	fields := logrus.Fields{"request": request.ID, "status": completion.Status}
	addRequest(fields, request)
	addCompletion(fields, completion)
	if completion.Cut != "" {
		fields["outcome"] = "cut"
		fields["reason"] = completion.Cut
		r.log.WithFields(fields).Warn("An answer ended early.")
		return
	}
	fields["outcome"] = "served"
	r.log.WithFields(fields).Info("A request was served.")
}

// Retried implements relay.Observer.
func (r *Recorder) Retried(request *relay.Request, attempt relay.Attempt) {
	r.counters.retried(attempt)
	r.counters.countReplacedWeights(attempt.Replaced)
	if !r.failures.Allow() {
		r.counters.unlogged()
		return
	}
	fields := logrus.Fields{"request": request.ID, "outcome": "sent_again", "reason": attempt.Reason}
	addResumption(fields, request)
	addAttempt(fields, attempt)
	r.log.WithFields(fields).Warn("A request goes to another back end.")
}

// Ejected implements relay.Observer.
func (r *Recorder) Ejected(backend identity.BackendID, result backendpool.Result) {
	fields := logrus.Fields{"result": result.String()}
	addBackend(fields, backend)
	r.log.WithFields(fields).Warn("A back end is taken out.")
}

// Noticed implements relay.Observer.
func (r *Recorder) Noticed(request *relay.Request, backend identity.BackendID, notice backendpool.Notice) {
	r.counters.noticed(notice)
	if !r.failures.Allow() {
		r.counters.unlogged()
		return
	}
	fields := logrus.Fields{"request": request.ID}
	addBackend(fields, backend)
	addNotice(fields, notice)
	if notice.Limit.Kind == backendpool.LimitNone {
		fields["backend_limit_ended"] = true
	}
	r.log.WithFields(fields).Warn("A back end drains, asks for no requests, or changes how many it takes.")
}

// addNotice adds what a backend announced about itself in an answer.
func addNotice(fields logrus.Fields, notice backendpool.Notice) {
	if notice.Draining {
		fields["backend_draining"] = true
	}
	if notice.RetryAfter > 0 {
		fields["backend_retry_after_ms"] = notice.RetryAfter.Milliseconds()
	}
	if notice.Limit.Kind == backendpool.LimitNamed {
		fields["backend_limit_per_second"] = notice.Limit.PerSecond
	}
}

// addBackend adds the name of a backend and, if known, its incarnation.
func addBackend(fields logrus.Fields, backend identity.BackendID) {
	fields["backend"] = backend.Name()
	if incarnation := backend.Incarnation(); incarnation > 0 {
		fields["incarnation"] = incarnation
	}
}

// addRequest adds what a request states about itself.
func addRequest(fields logrus.Fields, request *relay.Request) {
	addPrompt(fields, request.Prompt)
	addResumption(fields, request)
}

// addResumption adds which stream a request continues, and after which event.
func addResumption(fields logrus.Fields, request *relay.Request) {
	if request.ResumeAfter == "" {
		return
	}
	fields["resume_after"] = request.ResumeAfter
	fields["resumes"] = request.Resumes
}

// maxLoggedParts bounds the shared parts of a prompt in one line.
const maxLoggedParts = 8

// addPrompt adds the length of a prompt, its last part that is shared with other requests, and all of them if there are several.
func addPrompt(fields logrus.Fields, prompt *relay.Prompt) {
	if prompt == nil {
		return
	}
	tokens := 0
	for _, part := range prompt.Parts {
		tokens += part.Tokens
	}
	fields["prompt_tokens"] = tokens
	if count := len(prompt.Parts); count > 1 {
		fields["shared_part"] = prompt.Parts[count-2].ID
		fields["shared_tokens"] = tokens - prompt.Parts[count-1].Tokens
		if count > 2 {
			fields["shared_parts"] = sharedParts(prompt.Parts[:count-1])
		}
	}
}

// sharedParts joins the IDs of the first parts.
func sharedParts(parts []relay.Part) string {
	var ids []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

func addCompletion(fields logrus.Fields, completion *relay.Completion) {
	if completion == nil {
		return
	}
	if completion.Route != "" {
		fields["route"] = completion.Route
		fields["service"] = completion.Service
	}
	fields["configuration"] = completion.ConfigurationVersion
	fields["configuration_age_ms"] = completion.ConfirmationAge.Milliseconds()
	fields["elapsed_ms"] = completion.Elapsed.Milliseconds()
	if completion.Tenant != "" {
		fields["tenant"] = completion.Tenant
	}
	if completion.Fingerprint != 0 {
		fields["fingerprint"] = completion.Fingerprint.String()
	}
	if completion.Crashes > 0 {
		fields["crashes"] = completion.Crashes
	}
	if grant := completion.Grant; grant != nil {
		fields["limit_cost"] = grant.Cost
		fields["limit_per_second"] = grant.Limit.RatePerSecond
		fields["limit_configuration"] = grant.Limit.Version
		fields["limit_by"] = grant.Grantor
		fields["limit_own_part"] = grant.LocalShare
		fields["limit_wait_ms"] = grant.Wait.Milliseconds()
	}
	if completion.FirstByte > 0 {
		fields["first_byte_ms"] = completion.FirstByte.Milliseconds()
	}
	if completion.Resumed > 0 {
		fields["resumed"] = completion.Resumed
	}
	if completion.Origin.Known {
		fields["stream_version"] = completion.Origin.Version
		fields["stream_version_by"] = completion.Origin.From
		fields["stream_version_confirmed"] = completion.Origin.From != "" && completion.Origin.Origin.Confirmed()
	}
	if doubt := completion.Origin.Doubt; doubt != "" {
		fields["stream_doubt"] = doubt
	}
	if asked := completion.Origin.Asked; asked > 0 {
		fields["stream_asked"] = asked
		fields["stream_answered"] = completion.Origin.Answered
	}
	if shortage := completion.Shortage; shortage != (backendpool.Shortage{}) {
		fields["back_ends"] = shortage.Listed
		fields["draining"] = shortage.Draining
		fields["failed"] = shortage.Failed
		if shortage.BackingOff > 0 {
			fields["backing_off"] = shortage.BackingOff
		}
		if shortage.Limited > 0 {
			fields["limited"] = shortage.Limited
		}
		fields["old_weights"] = shortage.OldWeights
		if shortage.UnknownWeights > 0 {
			fields["unknown_weights"] = shortage.UnknownWeights
		}
		if shortage.OtherVersion > 0 {
			fields["other_version"] = shortage.OtherVersion
		}
	}
	addAttempt(fields, completion.Attempt)
}

func addAttempt(fields logrus.Fields, attempt relay.Attempt) {
	if attempt.Number == 0 {
		return
	}
	fields["attempt"] = attempt.Number
	addBackend(fields, attempt.Backend)
	if attempt.BackendVersion != "" {
		fields["backend_version"] = attempt.BackendVersion
	}
	fields["attempt_ms"] = attempt.Elapsed.Milliseconds()
	fields["candidates"] = attempt.Candidates
	if attempt.Version > 0 {
		fields["waiting_tokens"] = int(attempt.WaitingTokens)
		fields["weights"] = attempt.Version
		fields["held_tokens"] = attempt.Source.HeldTokens
		fields["holder_tokens"] = attempt.Source.HolderTokens
		fields["stored_tokens"] = attempt.Source.StoredTokens
	}
	addNotice(fields, attempt.Notice)
	if attempt.Limit.InForce {
		fields["known_limit_per_second"] = attempt.Limit.PerSecond
		fields["known_limit_version"] = attempt.Limit.Version
	}
	if grant := attempt.LimitGrant; grant != nil {
		fields["backend_limit_by"] = grant.Grantor
		fields["backend_limit_own_part"] = grant.LocalShare
	}
	if replaced := attempt.Replaced; replaced != nil {
		fields["weights_named"] = replaced.Bound.Newer
		fields["begin_bound"] = replaced.Bound.Basis
		fields["begin_left_ms"] = replaced.Left.Milliseconds()
		fields["begun"] = replaced.Begun
	}
	if software := attempt.Software; software != nil {
		fields["software"] = software.Version
		fields["stage"] = software.Stage
		fields["trial"] = software.Trial
		fields["order"] = software.Order
		fields["standing"] = software.Row
	}
	if attempt.Via != "" {
		fields["via"] = attempt.Via
	}
	if attempt.FetchFrom != "" {
		fields["fetch_from"] = attempt.FetchFrom
	}
	if attempt.SaveTo != "" {
		fields["save_to"] = attempt.SaveTo
	}
	if attempt.TooLong != nil {
		fields["too_long"] = attempt.TooLong.Part
		fields["limit_bytes"] = attempt.TooLong.Limit
	}
	if attempt.Malformed != nil {
		fields["malformed"] = attempt.Malformed.Part
		fields["malformed_detail"] = attempt.Malformed.Detail
	}
	if attempt.Reason != "" {
		fields["attempt_reason"] = attempt.Reason
	}
}

// latencyBuckets are the upper bounds of the latency histograms' buckets, in seconds.
var latencyBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.2, 2, 4, 8, 16}

func seconds(duration time.Duration) float64 { return duration.Seconds() }
