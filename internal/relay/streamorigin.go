package relay

import (
	"context"
	"errors"
	"slices"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/routing"
	corestream "github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/streamorigin"
)

// StreamOrigins remembers for all daemons which software version began a stream.
type StreamOrigins interface {
	// Begun records which backend began a stream, before its first event is passed on. It never
	// blocks. Confirmed is set if the listed incarnation of the backend surely made the event.
	Begun(stream corestream.Stream, backend backendpool.Backend, confirmed bool)
	// Find returns what is known of the beginning of a stream. It may ask other daemons.
	Find(ctx context.Context, stream corestream.Stream) streamorigin.Found
	// Outdated reports whether another version than the recorded one may have begun a stream of a
	// service, because its backend had restarted. It may ask the backend.
	Outdated(ctx context.Context, service identity.ServiceName, origin corestream.Origin) bool
	// Several reports whether several versions of a service were listed lately.
	Several(service identity.ServiceName) bool
}

// reasonUnknownOrigin is the refusal reason of requests that continue a stream of which it is not
// known which of several software versions began it.
const reasonUnknownOrigin = "unknown_stream_version"

// findOrigin finds out which software version began the stream that the request continues. It
// returns false if the request must be refused, because another version might continue the stream.
func (r *run) findOrigin(ctx context.Context) bool {
	request, origins := r.admitted.request, r.relay.options.StreamOrigins
	if origins == nil || request.ResumeAfter == "" || r.admitted.match.Route.Kind != routing.KindStreaming {
		return true
	}
	r.origin = origins.Find(ctx, r.stream(request.Resumes))
	if r.origin.Known {
		r.began = &r.origin.Version
	}
	return r.origin.Known
}

// beganElsewhere reports whether the stream that began in this request may be of another version
// than the one listed for its backend, because that had just restarted.
func (r *run) beganElsewhere(ctx context.Context) bool {
	origins := r.relay.options.StreamOrigins
	return r.beginning != nil && origins != nil && origins.Outdated(ctx, r.admitted.match.Service, *r.beginning)
}

// Reasons of attempts that ended because of the backend's incarnation.
const (
	reasonRestarted   = "restarted"
	reasonUnconfirmed = "unconfirmed_incarnation"
)

// confirmation returns how sure it must be which incarnation of a backend answers: that of a stream
// is recorded, and a continued stream must not go to another one than the listed.
func (r *run) confirmation() Confirmation {
	origins, match := r.relay.options.StreamOrigins, r.admitted.match
	if origins == nil || match.Route.Kind != routing.KindStreaming {
		return ConfirmationNone
	}
	switch {
	case r.began != nil:
		return ConfirmationRequired
	case match.Route.Resumable && !r.beginsAnywhere && origins.Several(match.Service):
		return ConfirmationWanted
	}
	return ConfirmationNone
}

// reasonUnaccepted returns why an answer can't continue the stream: its backend may run another
// version than the listed one. It returns an empty string if it can. Daemons of earlier builds send
// requests of others without a confirmation.
func (r *run) reasonUnaccepted(answer *Answer, ticket *backendpool.Ticket) string {
	if r.began == nil {
		return ""
	}
	return incarnationReason(r.confirmation().Accept(ticket.Backend.ID, answer.Incarnation))
}

// incarnationReason returns the reason of an attempt that failed because of the backend's
// incarnation; empty if it failed for another one.
func incarnationReason(err error) string {
	switch {
	case errors.Is(err, ErrRestarted):
		return reasonRestarted
	case errors.Is(err, ErrUnconfirmed):
		return reasonUnconfirmed
	}
	return ""
}

// readmitRestarted makes backends eligible again that the stream did not begin at because they have
// restarted. It returns false if there are none. A stream that begins there can be continued nowhere
// else.
func (r *run) readmitRestarted() bool {
	if r.began != nil || len(r.restarted) == 0 {
		return false
	}
	r.excluded = slices.DeleteFunc(r.excluded, func(id identity.BackendID) bool { return slices.Contains(r.restarted, id) })
	r.restarted, r.beginsAnywhere, r.overloaded = nil, true, false
	return true
}

// stream identifies the stream that began with a request.
func (r *run) stream(began identity.RequestID) corestream.Stream {
	request := r.admitted.request
	return corestream.Stream{
		Service: r.admitted.match.Service, Tenant: r.admitted.sender.tenantName(), Host: request.Host, Target: request.Target, Request: began,
	}
}

// keepVersion restricts further attempts, and later requests that continue the stream, to the
// software version of the first event's backend.
func (r *run) keepVersion(ticket *backendpool.Ticket, incarnation identity.Incarnation) {
	if r.began != nil {
		return
	}
	began, listed := ticket.Backend.Software, ticket.Backend.ID.Incarnation()
	confirmed := incarnation == listed // both are zero where the list names none
	r.began = &began
	r.beginning = corestream.NewOrigin(ticket.Backend, confirmed, r.now())
	request, origins := r.admitted.request, r.relay.options.StreamOrigins
	if origins != nil && request.ResumeAfter == "" && r.admitted.match.Route.Resumable {
		origins.Begun(r.stream(request.ID), ticket.Backend, confirmed)
	}
}
