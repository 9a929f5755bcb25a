// Package requestlog turns the relay's decisions into structured log lines and
// counters. Failures are always logged; requests that ended well are logged up to
// a rate, and counted beyond it.
package requestlog

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/relay"
)

// Rates of lines a second.
const (
	servedRate  = 5
	failureRate = 50
)

// Journal implements relay.Journal.
type Journal struct {
	log      logrus.FieldLogger
	counters *Counters
	served   *rate.Limiter
	failures *rate.Limiter
}

// New makes a Journal.
func New(log logrus.FieldLogger, counters *Counters) *Journal {
	return &Journal{
		log:      log,
		counters: counters,
		served:   rate.NewLimiter(servedRate, servedRate),
		failures: rate.NewLimiter(failureRate, failureRate),
	}
}

var _ relay.Journal = (*Journal)(nil)

// Refused implements relay.Journal.
func (j *Journal) Refused(request *relay.Request, ended *relay.Ending, refusal relay.Refusal) {
	j.counters.refused(refusal)
	j.counters.limited(ended)
	if ended != nil {
		j.counters.replaced(ended.Attempt.Replaced)
	}
	if !j.failures.Allow() {
		j.counters.unlogged()
		return
	}
	fields := logrus.Fields{"request": request.ID, "outcome": refusal.Kind, "reason": refusal.Reason}
	addPrompt(fields, request.Prompt)
	addEnding(fields, ended)
	j.log.WithFields(fields).Warn("A request was refused.")
}

// Served implements relay.Journal.
func (j *Journal) Served(request *relay.Request, ended *relay.Ending) {
	j.counters.served(ended)
	j.counters.limited(ended)
	j.counters.replaced(ended.Attempt.Replaced)
	limiter := j.served
	if ended.Cut != "" || ended.Attempt.Replaced.BegunLate() {
		limiter = j.failures
	}
	if !limiter.Allow() {
		j.counters.unlogged()
		return
	}
	fields := logrus.Fields{"request": request.ID, "status": ended.Status}
	addPrompt(fields, request.Prompt)
	addEnding(fields, ended)
	if ended.Cut != "" {
		fields["outcome"] = "cut"
		fields["reason"] = ended.Cut
		j.log.WithFields(fields).Warn("An answer ended early.")
		return
	}
	fields["outcome"] = "served"
	j.log.WithFields(fields).Info("A request was served.")
}

// Retried implements relay.Journal.
func (j *Journal) Retried(request *relay.Request, attempt relay.Attempt) {
	j.counters.retried(attempt)
	j.counters.replaced(attempt.Replaced)
	if !j.failures.Allow() {
		j.counters.unlogged()
		return
	}
	fields := logrus.Fields{"request": request.ID, "outcome": "sent_again", "reason": attempt.Reason}
	addAttempt(fields, attempt)
	j.log.WithFields(fields).Warn("A request goes to another back end.")
}

// Ejected implements relay.Journal.
func (j *Journal) Ejected(backend identity.BackendID, result backendpool.Result) {
	fields := logrus.Fields{"result": result.String()}
	addBackend(fields, backend)
	j.log.WithFields(fields).Warn("A back end is taken out.")
}

// Noticed implements relay.Journal.
func (j *Journal) Noticed(request *relay.Request, backend identity.BackendID, notice backendpool.Notice) {
	j.counters.noticed(notice)
	if !j.failures.Allow() {
		j.counters.unlogged()
		return
	}
	fields := logrus.Fields{"request": request.ID}
	addBackend(fields, backend)
	addNotice(fields, notice)
	if notice.Limit.Kind == backendpool.LimitNone {
		fields["backend_limit_ended"] = true
	}
	j.log.WithFields(fields).Warn("A back end drains, asks for no requests, or changes how many it takes.")
}

// addNotice tells what a back end said of itself in an answer.
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

// addBackend tells a back end, and which of its lives it was where that is known.
func addBackend(fields logrus.Fields, backend identity.BackendID) {
	fields["backend"] = backend.Name()
	if incarnation := backend.Incarnation(); incarnation > 0 {
		fields["incarnation"] = incarnation
	}
}

// addPrompt tells the deepest part of a prompt that is shared with other requests,
// and how long the prompt is.
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
	}
}

func addEnding(fields logrus.Fields, ended *relay.Ending) {
	if ended == nil {
		return
	}
	if ended.Route != "" {
		fields["route"] = ended.Route
		fields["service"] = ended.Service
	}
	fields["configuration"] = ended.ConfigurationVersion
	fields["configuration_age_ms"] = ended.ConfirmationAge.Milliseconds()
	fields["elapsed_ms"] = ended.Elapsed.Milliseconds()
	if ended.Tenant != "" {
		fields["tenant"] = ended.Tenant
	}
	if ended.Fingerprint != 0 {
		fields["fingerprint"] = ended.Fingerprint.String()
	}
	if ended.Crashes > 0 {
		fields["crashes"] = ended.Crashes
	}
	if grant := ended.Grant; grant != nil {
		fields["limit_cost"] = grant.Cost
		fields["limit_per_second"] = grant.Limit.RatePerSecond
		fields["limit_configuration"] = grant.Limit.Version
		fields["limit_by"] = grant.Grantor
		fields["limit_own_part"] = grant.LocalShare
		fields["limit_wait_ms"] = grant.Wait.Milliseconds()
	}
	if ended.FirstByte > 0 {
		fields["first_byte_ms"] = ended.FirstByte.Milliseconds()
	}
	if ended.Resumed > 0 {
		fields["resumed"] = ended.Resumed
	}
	if shortage := ended.Shortage; shortage != (backendpool.Shortage{}) {
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
		if shortage.OtherVersion > 0 {
			fields["other_version"] = shortage.OtherVersion
		}
	}
	addAttempt(fields, ended.Attempt)
}

func addAttempt(fields logrus.Fields, attempt relay.Attempt) {
	if attempt.Number == 0 {
		return
	}
	fields["attempt"] = attempt.Number
	addBackend(fields, attempt.Backend)
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
	if attempt.FetchFrom != "" {
		fields["fetch_from"] = attempt.FetchFrom
	}
	if attempt.SaveTo != "" {
		fields["save_to"] = attempt.SaveTo
	}
	if attempt.Reason != "" {
		fields["attempt_reason"] = attempt.Reason
	}
}

// bucketBounds are the upper bounds of the latency histograms.
var bucketBounds = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.2, 2, 4, 8, 16}

func seconds(duration time.Duration) float64 { return duration.Seconds() }
