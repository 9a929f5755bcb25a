// Package backendpool knows the back ends of each service, what this daemon has
// under way at each, and which of them to doubt, and picks one for a request. It
// does no I/O and reads no clock; each call carries the time.
package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Backend is what the list of back ends says of one of them.
type Backend struct {
	// ID is of one life of the back end.
	ID      identity.BackendID
	Service identity.ServiceName
	// Address is IP:port. After a back end has ended, its address may be given
	// to one of another service.
	Address string
	Zone    identity.Zone
	Slots   int
	// Software is the version of the service's software that it runs; empty is not told.
	Software identity.SoftwareVersion `msgpack:",omitempty"`
	// Draining back ends get no new requests. In the list it is what the row says.
	Draining bool
	// Weights are the versions of the models that it holds.
	Weights map[identity.ModelName]uint64
}

// Result is how one request ended at a back end.
type Result int

// The results.
const (
	// ResultServed is a whole answer.
	ResultServed Result = iota
	// ResultRejected is a truthful refusal by a back end that is full or busy.
	ResultRejected
	// ResultFailed is an answer that was missing, broken or a failure.
	ResultFailed
	// ResultConnectionLost means that the connection was lost after the request was sent: the back end
	// may have ended.
	ResultConnectionLost
	// ResultUnreachable means that there was no connection.
	ResultUnreachable
	// ResultReplaced means that another back end has the address now.
	ResultReplaced
	// ResultAbandoned means that the caller left or ran out of time; it tells
	// nothing about the back end.
	ResultAbandoned
)

// Limits of doubt.
const (
	// failureWeight is the weight of the newest result in the failure rate.
	failureWeight = 0.2
	// failureThreshold is the rate from which a back end is taken out; two
	// failures in a row reach it.
	failureThreshold = 0.35
	// failureRateAfterReturn makes one more failure take a back end out again.
	failureRateAfterReturn = 0.25
	shortestEjection       = 500 * time.Millisecond
	failureEjection        = 1500 * time.Millisecond
	longestEjection        = 6 * time.Second
	// replacedEjection outlasts the list's delay in dropping a replaced back end.
	replacedEjection = 5 * time.Second
)

// entry is one back end with what this daemon knows of it.
type entry struct {
	backend Backend
	// key is the hash of the ID, nameKey that of the name alone, and name the back end's, for rendezvous
	// ranking.
	key, nameKey uint64
	name         string
	// far is set for a back end in another region than the daemon's.
	far bool
	// leaving is whether the back end is taken out of use on purpose.
	leaving leavingState
	// inFlight is the number of requests under way from this daemon.
	inFlight int
	// reading is the work of those whose answer has not begun, in tokens.
	reading float64
	// tokens is how long the prompts of the requests under way are together.
	tokens int
	// others is what other daemons told of their load here.
	others Load
	// failureRate is an exponentially weighted mean of failures.
	failureRate float64
	// ejectedUntil is when a doubted back end is tried again.
	ejectedUntil time.Time
	ejection     time.Duration
	// heardAt is when anything last arrived from the back end.
	heardAt time.Time
	// suspicion is what makes the back end be probed.
	suspicion suspicion
	// refusals are what it refused.
	refusals refusals
	// tickets are the requests under way from this daemon.
	tickets map[*Ticket]bool
	// replaced is set when a back end that was listed later has the address, and ended once the back end
	// itself has told of a later life.
	replaced, ended bool
	// told is what others have found out, where this daemon is a home of the back end.
	told told
	// said is what the back end has said of itself in answers; nil is nothing.
	said *said
	// place is where it is on the ring of its group, and drawn the number of the last scope that it was drawn for.
	place, drawn uint64
	// listedAt counts the updates of the list up to the one that brought the back end.
	listedAt uint64
	// accusedBy and accusedAt are of the last other daemon that did not reach it.
	accusedBy string
	accusedAt time.Time
	// learned are versions that answers told and the list doesn't show yet. It and tickets are made when they are
	// needed: few of thousands of back ends have any.
	learned map[identity.ModelName]uint64
}

func newEntry(backend Backend) *entry {
	return &entry{
		backend: backend,
		key:     rendezvous.Key(string(backend.ID)),
		nameKey: rendezvous.Key(string(backend.ID.Name())),
		name:    string(backend.ID.Name()),
		place:   rendezvous.Score(ringSeed, string(backend.ID.Name())),
	}
}

// version is the newest version of a model that the back end is known to hold.
func (e *entry) version(model identity.ModelName) uint64 {
	return max(e.backend.Weights[model], e.learned[model])
}

// learn notes a version that the back end holds; it never holds an older one again.
func (e *entry) learn(model identity.ModelName, version uint64) {
	if e.learned == nil {
		e.learned = map[identity.ModelName]uint64{}
	}
	e.learned[model] = max(e.learned[model], version)
}

func (e *entry) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// record takes in how a request ended. It returns true when the back end is
// taken out because of it.
func (e *entry) record(now time.Time, result Result) bool {
	switch result {
	case ResultServed:
		e.suspicion.unreached, e.suspicion.own = false, false
		e.failureRate *= 1 - failureWeight
		e.ejection = 0
		return false
	case ResultUnreachable:
		e.suspicion.unreached, e.suspicion.own = true, true
		return e.eject(now, shortestEjection)
	case ResultReplaced:
		e.ejection = 0
		return e.eject(now, replacedEjection)
	case ResultFailed, ResultConnectionLost:
		if result == ResultConnectionLost {
			e.suspicion.cutAt = now
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

// eject takes the back end out for at least a time, longer after each repetition.
func (e *entry) eject(now time.Time, least time.Duration) bool {
	if e.ejected(now) {
		return false
	}
	e.ejection = min(max(2*e.ejection, least), longestEjection)
	e.ejectedUntil = now.Add(e.ejection)
	return true
}

// String names the result for logs and counters.
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
