package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// reasonUnconfirmedVersions is the refusal reason while it is too uncertain which software
// versions of the service may receive requests.
const reasonUnconfirmedVersions = "unconfirmed_versions"

// maxVersionChoices bounds how often a request reserves a slot that it may not use after all
// because the rollout standing has changed since. One rollout order changes the standing three
// times in its course.
const maxVersionChoices = 4

// choice is the set of software versions that the next attempt may use.
type choice struct {
	VersionChoice
	// pending is set until the choice has been used for an attempt or dropped.
	pending bool
}

// selectsVersions reports whether software versions restrict the request's backends.
func (r *run) selectsVersions() bool { return r.relay.options.Versions != nil }

// ensureChoice makes sure that there is a valid version choice. It returns false if the request
// may currently go to no version.
func (r *run) ensureChoice() bool {
	if !r.selectsVersions() {
		return true
	}
	versions := r.relay.options.Versions
	if r.choice.pending && versions.StillValid(r.choice.VersionChoice) {
		return true
	}
	r.dropChoice()
	return r.makeChoice(r.isFirstAttempt())
}

// choose asks for the version of the next attempt: the one that began the stream, if one did.
func (r *run) choose(first bool) VersionChoice {
	versions, match := r.relay.options.Versions, r.admitted.match
	if r.began != nil {
		return versions.Continue(match.Service, match.Route.Name, *r.began)
	}
	return versions.Choose(match.Service, match.Route.Name, first)
}

// isFirstAttempt reports whether nothing has been sent for the caller yet, neither in this request
// nor in an earlier one that this request resumes.
func (r *run) isFirstAttempt() bool {
	return r.attempt.Number == 0 && r.admitted.request.ResumeAfter == ""
}

// makeChoice chooses a version for the next attempt. It returns false if the request may currently
// go to no version.
func (r *run) makeChoice(first bool) bool {
	chosen := r.choose(first)
	r.unconfirmed = chosen.Refused
	if chosen.Refused {
		r.shortage = backendpool.Shortage{}
		return false
	}
	r.choice = choice{VersionChoice: chosen, pending: true}
	return true
}

// dropChoice discards a choice that was not used for an attempt.
func (r *run) dropChoice() {
	if r.choice.pending {
		r.choice.pending = false
		r.relay.options.Versions.Dropped(r.choice.VersionChoice)
	}
}

// restrictQuery limits a query to the backends of the chosen version, or of the one that began the
// stream.
func (r *run) restrictQuery(query *backendpool.Query) {
	if r.choice.pending && !r.choice.Any {
		query.Software, query.OtherSoftware = r.choice.Version, r.choice.Beside
		query.AllowedKeys, query.Trial = r.choice.Backends, r.choice.Trial
	}
	if r.began != nil {
		query.Software, query.OtherSoftware, query.ExactSoftware = *r.began, nil, true
	} else if query.Limits != (backendpool.Limits{}) {
		query.ReservedSoftware = r.relay.waitLists.awaitedVersions(r.waitList(), r.queuePosition())
	}
}

// tryVersions reserves a slot at a backend of a permitted version, or records the shortage. A
// request chosen for a trial does not wait for one: if the trial has no free slot, the request
// goes to the stable version.
func (r *run) tryVersions(ctx context.Context, limits backendpool.Limits) *backendpool.Ticket {
	if !r.ensureChoice() {
		return nil
	}
	ticket := r.tryChosen(ctx, limits)
	if ticket != nil || !r.choice.Trial || r.choice.Continued {
		return ticket
	}
	r.dropChoice()
	if !r.makeChoice(false) {
		return nil
	}
	return r.tryChosen(ctx, limits)
}

// choiceValid reports, right before sending, whether the request may still go to the ticket's
// backend. A request that waited must not rely on an outdated choice.
func (r *run) choiceValid() bool {
	return !r.selectsVersions() || (r.choice.pending && r.relay.options.Versions.StillValid(r.choice.VersionChoice))
}

// reportSent reports that the request is being sent on its version choice and returns a function
// that reports the result of the attempt.
func (r *run) reportSent(ticket *backendpool.Ticket) func(failure) {
	if !r.selectsVersions() {
		return func(failure) {}
	}
	versions, chosen := r.relay.options.Versions, r.choice.VersionChoice
	r.choice.pending = false
	r.progress = answerProgress{}
	versions.Sent(chosen)
	return func(ended failure) {
		versions.Ended(chosen, AttemptResult{
			Backend: ticket.Key, Result: ended.result, Status: r.progress.status, FirstByte: r.firstByteLatency(ended),
			Tokens: ticket.WorkTokens(), BackendFailed: ended.reason == reasonBackendFailure,
		})
	}
}

// firstByteLatency returns the time to the first byte of the answer or, if the caller left before
// it, the time that the caller waited. Otherwise a version so slow that callers give up would
// leave no evidence. An attempt whose network link failed has none.
func (r *run) firstByteLatency(ended failure) time.Duration {
	if ended.reason == reasonLinkLost {
		return 0
	}
	if r.progress.firstByte == 0 && ended.result == backendpool.ResultAbandoned {
		return r.now().Sub(r.sentAt)
	}
	return r.progress.firstByte
}

// answerProgress is what has been received of the current attempt's answer.
type answerProgress struct {
	// status is zero before the head is received. firstByte is measured from the start of the
	// attempt and is zero before the first event of a stream, or before the head of any other
	// answer.
	status    int
	firstByte time.Duration
	// delimited is set if the end of the body is marked, so that a complete one can be told.
	delimited bool
}

// recordHead records the status, and for an answer that is not a successful stream also the first
// byte.
func (r *run) recordHead(answer *Answer) {
	r.progress.status, r.progress.delimited = answer.Head.Status, answer.Delimited
	if !answer.Stream || answer.Head.Status >= http.StatusMultipleChoices {
		r.recordFirstByte()
	}
}

// recordFirstByte records when the first byte of the answer arrived.
func (r *run) recordFirstByte() { r.progress.firstByte = r.now().Sub(r.sentAt) }

// softwareAttempt describes the software version of the ticket's backend and the choice behind it.
func (r *run) softwareAttempt(ticket *backendpool.Ticket) *SoftwareAttempt {
	if !r.selectsVersions() {
		return nil
	}
	chosen := r.choice.VersionChoice
	return &SoftwareAttempt{
		Version: ticket.Backend.Software, Trial: chosen.Trial, Stage: chosen.Stage, Order: chosen.Order, Row: chosen.Row,
	}
}
