package relay

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/pause"
)

// Crashes tracks which requests were in flight when backends crashed, across all daemons.
type Crashes interface {
	// Verdict returns what is currently believed about a request.
	Verdict(fingerprint quarantine.Fingerprint) quarantine.Status
	// Lost records that the connection to a backend was lost while a request was in flight.
	Lost(fingerprint quarantine.Fingerprint, backend identity.BackendID)
	// Served records that a request received a complete answer.
	Served(fingerprint quarantine.Fingerprint)
}

// reasonQuarantined is the refusal reason of requests that crash backends. Without quarantine, one
// such request crashed 14 backends in 14 s, and each crash cut four other requests (means over 25
// crashes, from the logs of seven daemons with twelve backends).
const reasonQuarantined = "quarantined"

// reasonBackendFailure is the reason if a backend answered with a failure of its own.
const reasonBackendFailure = "backend_failure"

// noCrashes tracks nothing.
type noCrashes struct{}

func (noCrashes) Verdict(quarantine.Fingerprint) quarantine.Status { return quarantine.Status{} }
func (noCrashes) Lost(quarantine.Fingerprint, identity.BackendID)  {}
func (noCrashes) Served(quarantine.Fingerprint)                    {}

const (
	// crashVerdictTimeout bounds the wait for the check whether a backend that cut the request has
	// crashed. Between zones, a crashed backend refuses the connection and a running one accepts
	// it within two milliseconds; a silent one is not waited for.
	crashVerdictTimeout = 50 * time.Millisecond
	// crashVerdictPollInterval is the interval at which the verdict is polled meanwhile.
	crashVerdictPollInterval = 2 * time.Millisecond
)

// isQuarantined reports whether the request must not be sent to any more backends. If this depends
// on a pending backend check, it waits briefly: faulty backends cut requests and keep running, so
// two cut connections alone don't prove a crash.
func (r *run) isQuarantined(ctx context.Context) bool {
	crashes, until := r.relay.options.Crashes, r.now().Add(crashVerdictTimeout)
	r.verdict = crashes.Verdict(r.admitted.fingerprint)
	for r.verdict.Uncertain && !r.verdict.Quarantined && ctx.Err() == nil && r.now().Before(until) {
		pause.For(ctx, crashVerdictPollInterval)
		r.verdict = crashes.Verdict(r.admitted.fingerprint)
	}
	return r.verdict.Quarantined
}

// reportCrash reports how an attempt ended for the backend, as far as the request may have caused
// it.
func (r *run) reportCrash(ticket *backendpool.Ticket, ended failure) {
	fingerprint, crashes := r.admitted.fingerprint, r.relay.options.Crashes
	switch {
	case ended.result == backendpool.ResultConnectionLost:
		crashes.Lost(fingerprint, ticket.Backend.ID)
	case ended.result == backendpool.ResultServed, ended.reason == reasonBackendFailure:
		crashes.Served(fingerprint)
	}
}
