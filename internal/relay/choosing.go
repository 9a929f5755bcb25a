package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// reasonUnconfirmedVersions is the reason of refusals where it is not certain enough to which
// software versions of the service requests may go.
const reasonUnconfirmedVersions = "unconfirmed_versions"

// maximumChoices bounds how often a request takes a place that it then may not use: each time a
// standing has changed in between. One order changes it three times in its course.
const maximumChoices = 4

// choice is the versions that the next sending may go to.
type choice struct {
	VersionChoice
	// made is set from the choice until it was sent or dropped.
	made bool
}

// choosesVersions tells whether versions are looked at for the request.
func (r *run) choosesVersions() bool { return r.relay.options.Versions != nil }

// chooseVersion sees to it that there is a choice that holds. It returns false where the
// request may go to no version now.
func (r *run) chooseVersion() bool {
	if !r.choosesVersions() {
		return true
	}
	versions := r.relay.options.Versions
	if r.choice.made && versions.StillValid(r.choice.VersionChoice) {
		return true
	}
	r.dropChoice()
	return r.choose(r.isFirstSending())
}

// isFirstSending tells whether nothing was sent for the caller yet: neither in this request, nor
// in one of which it has the beginning.
func (r *run) isFirstSending() bool {
	return r.attempt.Number == 0 && r.admitted.request.ResumeAfter == ""
}

// choose makes a choice. It returns false where the request may go to no version now.
func (r *run) choose(first bool) bool {
	match := r.admitted.match
	chosen := r.relay.options.Versions.Choose(match.Service, match.Route.Name, first)
	r.unconfirmed = chosen.Refused
	if chosen.Refused {
		r.shortage = backendpool.Shortage{}
		return false
	}
	r.choice = choice{VersionChoice: chosen, made: true}
	return true
}

// dropChoice gives up a choice on which nothing was sent.
func (r *run) dropChoice() {
	if r.choice.made {
		r.choice.made = false
		r.relay.options.Versions.Dropped(r.choice.VersionChoice)
	}
}

// limitQuery restricts a query to the back ends of the choice.
func (r *run) limitQuery(query *backendpool.Query) {
	if r.choice.made && !r.choice.Any {
		query.Software, query.Only, query.Trial = r.choice.Version, r.choice.Backends, r.choice.Trial
	}
}

// tryPick takes a place at a back end of a version that the request may go to, or notes why
// there is none. A request chosen for a trial doesn't wait for one: where the trial has no
// place, it goes to the stable version.
func (r *run) tryPick(ctx context.Context, limits backendpool.Limits) *backendpool.Ticket {
	if !r.chooseVersion() {
		return nil
	}
	ticket := r.tryChosen(ctx, limits)
	if ticket != nil || !r.choice.Trial {
		return ticket
	}
	r.dropChoice()
	if !r.choose(false) {
		return nil
	}
	return r.tryChosen(ctx, limits)
}

// stillChosen tells, just before the sending, whether the request may go to a ticket's back
// end. A request that waited must not go by what held before.
func (r *run) stillChosen() bool {
	return !r.choosesVersions() || (r.choice.made && r.relay.options.Versions.StillValid(r.choice.VersionChoice))
}

// sentChoice tells that the request is being sent on its choice, and returns what tells how that
// ended.
func (r *run) sentChoice(ticket *backendpool.Ticket) func(failure) {
	if !r.choosesVersions() {
		return func(failure) {}
	}
	versions, chosen := r.relay.options.Versions, r.choice.VersionChoice
	r.choice.made = false
	r.answered = answered{}
	versions.Sent(chosen)
	return func(ended failure) {
		versions.Ended(chosen, AttemptResult{
			Backend: ticket.Key, Result: ended.result, Status: r.answered.status, FirstByte: r.waited(ended),
			Tokens: ticket.WorkTokens(), BackendFailed: ended.reason == reasonBackendFailure,
		})
	}
}

// waited is when the first byte of the present sending's answer came or, where the caller left
// before, how long it had waited: a version so slow that callers leave would otherwise leave no
// evidence.
func (r *run) waited(ended failure) time.Duration {
	if r.answered.firstByte == 0 && ended.result == backendpool.ResultAbandoned {
		return r.now().Sub(r.sentAt)
	}
	return r.answered.firstByte
}

// answered is what came of the present sending's answer.
type answered struct {
	// status is zero before the head, and firstByte, since the sending began, before the body
	// of a stream or the head of any other answer.
	status    int
	firstByte time.Duration
}

// noteHead notes the head of the present sending's answer.
func (r *run) noteHead(answer *Answer) {
	r.answered.status = answer.Head.Status
	if !answer.Stream || answer.Head.Status >= http.StatusMultipleChoices {
		r.noteFirstByte()
	}
}

// noteFirstByte notes the first byte of the present sending's answer.
func (r *run) noteFirstByte() { r.answered.firstByte = r.now().Sub(r.sentAt) }

// softwareAttempt describes the versions of a sending to a ticket's back end.
func (r *run) softwareAttempt(ticket *backendpool.Ticket) *SoftwareAttempt {
	if !r.choosesVersions() {
		return nil
	}
	chosen := r.choice.VersionChoice
	return &SoftwareAttempt{
		Version: ticket.Backend.Software, Trial: chosen.Trial, Stage: chosen.Stage, Order: chosen.Order, Row: chosen.Row,
	}
}
