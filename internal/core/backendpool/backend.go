// Package backendpool tracks the back ends of each service, this daemon's load on each and their health, and picks
// one for each request. It does no I/O and reads no clock: every call is passed the current time.
package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Backend is one entry of the list of back ends.
type Backend struct {
	// ID identifies one incarnation of the back end.
	ID      identity.BackendID
	Service identity.ServiceName
	// Address is IP:port. After a back end has ended, its address may be reused by a back end of another service.
	Address string
	Zone    identity.Zone
	Slots   int
	// Software is the version of the service's software that it runs; empty if unknown.
	Software identity.SoftwareVersion `msgpack:",omitempty"`
	// Draining back ends get no new requests. In the list, it is the value of the back end's row.
	Draining bool
	// Weights maps each model that it holds to the version of the weights.
	Weights map[identity.ModelName]uint64
}

// Result is the outcome of one request at a back end.
type Result int

const (
	// ResultServed is a complete response.
	ResultServed Result = iota
	// ResultRejected is a legitimate refusal by a back end that is full or busy.
	ResultRejected
	// ResultFailed is a missing or malformed response, or an error response.
	ResultFailed
	// ResultConnectionLost means that the connection was lost after the request was sent; the back end may have
	// ended.
	ResultConnectionLost
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable
	// ResultReplaced means that another back end now has the address.
	ResultReplaced
	// ResultAbandoned means that the client disconnected or its deadline passed; it says nothing about the back
	// end.
	ResultAbandoned
)

// Parameters of outlier ejection.
const (
	// failureWeight is the weight of the latest result in the moving average of failures.
	failureWeight = 0.2
	// failureThreshold is the failure rate at which a back end is ejected; two consecutive failures reach it.
	failureThreshold = 0.35
	// failureRateAfterReturn is low enough to readmit a back end and high enough that one more failure ejects it
	// again.
	failureRateAfterReturn = 0.25
	minEjection            = 500 * time.Millisecond
	failureEjection        = 1500 * time.Millisecond
	maxEjection            = 6 * time.Second
	// replacedEjection exceeds the delay with which the list drops a replaced back end.
	replacedEjection = 5 * time.Second
)

// entry is the state that this daemon keeps for one back end.
type entry struct {
	backend Backend
	// key is the hash of the ID and nameKey that of the name; name is the back end's name, for rendezvous hashing.
	key, nameKey uint64
	name         string
	// far is set if the back end is in another region than the daemon.
	far bool
	// leaving is whether the back end is being taken out of service deliberately.
	leaving leavingState
	// inFlight is the number of this daemon's requests in flight that count as load, and suspended that of the others.
	inFlight, suspended int
	// reading is the outstanding prefill work of requests without a first byte, in tokens.
	reading float64
	// tokens is the total prompt length of the requests in flight.
	tokens int
	// others is the load that other daemons have reported for this back end.
	others Load
	// failureRate is an exponentially weighted moving average of failures.
	failureRate float64
	// ejectedUntil is the end of the current ejection, after which the back end is tried again.
	ejectedUntil time.Time
	ejection     time.Duration
	// lastActivityAt is when data last arrived from the back end.
	lastActivityAt time.Time
	// probeState determines when the back end is probed.
	probeState probeState
	// refusals tracks the requests that it refused.
	refusals refusals
	// tickets are this daemon's requests in flight.
	tickets map[*Ticket]bool
	// replaced is set when a back end listed later has the same address. ended is set once the back end itself has
	// reported a later incarnation.
	replaced, ended bool
	// reported is what other daemons have reported to this one as a home of the back end.
	reported reported
	// notices is what the back end has announced in its responses; nil if nothing.
	notices *notices
	// position is its position on the hash ring of its group. drawn is the number of the last sample that contains
	// it.
	position, drawn uint64
	// listedInUpdate is the sequence number of the list update that added the back end.
	listedInUpdate uint64
	// lastReporter and lastReportedAt are the daemon that last reported the back end as unreachable, and when.
	lastReporter   string
	lastReportedAt time.Time
	// learned holds versions that responses revealed before the list did. learned and tickets are allocated on
	// demand: of thousands of back ends, few need them.
	learned map[identity.ModelName]uint64
}

func newEntry(backend Backend) *entry {
	return &entry{
		backend:  backend,
		key:      rendezvous.Key(string(backend.ID)),
		nameKey:  rendezvous.Key(string(backend.ID.Name())),
		name:     string(backend.ID.Name()),
		position: rendezvous.Score(ringSeed, string(backend.ID.Name())),
	}
}

// version returns the newest version of a model's weights that the back end is known to hold.
func (e *entry) version(model identity.ModelName) uint64 {
	return max(e.backend.Weights[model], e.learned[model])
}

// learn records a version that the back end holds. A back end never goes back to an older version.
func (e *entry) learn(model identity.ModelName, version uint64) {
	if e.learned == nil {
		e.learned = map[identity.ModelName]uint64{}
	}
	e.learned[model] = max(e.learned[model], version)
}

// requests returns the number of this daemon's requests in flight.
func (e *entry) requests() int { return e.inFlight + e.suspended }

func (e *entry) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// record updates the health state with the outcome of a request. It returns true if the back end is ejected because
// of it.
func (e *entry) record(now time.Time, result Result) bool {
	switch result {
	case ResultServed:
		e.probeState.unreachable, e.probeState.observedHere = false, false
		e.failureRate *= 1 - failureWeight
		e.ejection = 0
		return false
	case ResultUnreachable:
		e.probeState.unreachable, e.probeState.observedHere = true, true
		return e.eject(now, minEjection)
	case ResultReplaced:
		e.ejection = 0
		return e.eject(now, replacedEjection)
	case ResultFailed, ResultConnectionLost:
		if result == ResultConnectionLost {
			e.probeState.connectionLostAt = now
		}
		e.failureRate = e.failureRate*(1-failureWeight) + failureWeight
		if e.failureRate < failureThreshold {
			return false
		}
		e.failureRate = failureRateAfterReturn
		return e.eject(now, failureEjection)
	default:
		return false
	}
}

// eject ejects the back end for at least the given time, and for twice the previous time, up to maxEjection, with
// each repetition. It has no effect on a back end that is ejected already.
func (e *entry) eject(now time.Time, least time.Duration) bool {
	if e.ejected(now) {
		return false
	}
	e.ejection = min(max(2*e.ejection, least), maxEjection)
	e.ejectedUntil = now.Add(e.ejection)
	return true
}

// String returns the result's name in logs and counters.
func (r Result) String() string {
	switch r {
	case ResultServed:
		return "served"
	case ResultRejected:
		return "rejected"
	case ResultFailed:
		return "failed"
	case ResultConnectionLost:
		return "cut"
	case ResultUnreachable:
		return "unreached"
	case ResultReplaced:
		return "replaced"
	default:
		return "abandoned"
	}
}
