// Package claim decides which daemon may dispatch a request that must run at
// most once. It is pure: it does no I/O, starts no goroutines and reads no
// clock.
//
// Every key belongs to a slot, and every slot to a group of up to three replica
// daemons, chosen by rendezvous hashing over the newest roster. A Coordinator
// asks all replicas of the group for their vote and may dispatch once a majority
// voted for it. A Replica gives its vote for a key to the first claimant and
// never takes it back by itself: only the claimant gives it up, after having
// decided not to dispatch.
//
// Replicas keep votes in memory only. What a restarted replica has forgotten is
// bounded by its floor: it votes only on keys that were born after it. Package
// documentation of the protocol with its assumptions is in docs/design/claims.md.
package claim

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// SlotCount is the number of slots that the keys are divided into. At 340
// daemons, each daemon serves about 9 of them.
const SlotCount = 1024

// Slot is a share of the keys that has its own replica group.
type Slot uint16

// Key is a 128-bit hash of tenant, service and idempotency key.
type Key [16]byte

// KeyOf hashes what names a request. The parts are length-prefixed, so that no
// two different triples are hashed as the same bytes.
func KeyOf(tenant identity.TenantName, service identity.ServiceName, idempotencyKey string) Key {
	buffer := make([]byte, 0, 128)
	for _, part := range [...]string{string(tenant), string(service), idempotencyKey} {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	sum := sha256.Sum256(buffer)
	return Key(sum[:len(Key{})])
}

// Slot returns the slot of the key.
func (k Key) Slot() Slot {
	return Slot(binary.BigEndian.Uint16(k[:2]) % SlotCount)
}

// Timestamp is a time in microseconds since the Unix epoch.
type Timestamp int64

// TimestampOf converts a time.
func TimestampOf(at time.Time) Timestamp { return Timestamp(at.UnixMicro()) }

// Add returns the timestamp moved by a duration.
func (t Timestamp) Add(duration time.Duration) Timestamp {
	return t + Timestamp(duration.Microseconds())
}

// Claimant names one claim call. Two calls with the same key are two claimants,
// also when the same daemon serves both.
type Claimant struct {
	Daemon      identity.DaemonID    `msgpack:"d"`
	Incarnation identity.Incarnation `msgpack:"i"`
	Sequence    uint64               `msgpack:"s"`
}

// Compare orders claimants, to break ties between them.
func (c Claimant) Compare(other Claimant) int {
	return cmp.Or(
		cmp.Compare(c.Daemon, other.Daemon),
		cmp.Compare(c.Incarnation, other.Incarnation),
		cmp.Compare(c.Sequence, other.Sequence),
	)
}

// State is what a replica knows about the run of a claimed request. A later
// state in this order replaces an earlier one.
type State uint8

// The states of a claimed request.
const (
	// StateRunning means that the holder may dispatch the request.
	StateRunning State = iota + 1
	// StateConflict means that other replicas reported different holders, so that
	// it cannot be known which of them was granted.
	StateConflict
	// StateUnknown means that the holder dispatched and does not know the outcome.
	StateUnknown
	// StateRan means that the request ran.
	StateRan
)

// Limits are the bounds of a replica. All replicas of a deployment must use the
// same Retention, MaxClockSkew and MaxFutureBirth.
type Limits struct {
	// Retention is how long after its birth a key can be claimed, and how long
	// replicas remember it.
	Retention time.Duration
	// MaxClockSkew bounds how far any daemon's clock is from the true time.
	MaxClockSkew time.Duration
	// MaxFutureBirth bounds how far ahead of a replica's clock a key's birth may
	// lie for the replica to vote on it.
	MaxFutureBirth time.Duration
	// Capacity bounds the claims that a replica votes on; more are refused.
	Capacity int
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{
		Retention:      10 * time.Minute,
		MaxClockSkew:   100 * time.Millisecond,
		MaxFutureBirth: 200 * time.Millisecond,
		Capacity:       200_000,
	}
}

// birthsBefore returns a bound on the births of all keys that any replica can
// have voted on before now: a vote at true time T was on a key born at the
// latest at T + MaxClockSkew + MaxFutureBirth, and now may be MaxClockSkew
// behind the true time.
func (l Limits) birthsBefore(now Timestamp) Timestamp {
	return now.Add(2*l.MaxClockSkew + l.MaxFutureBirth)
}

// horizon returns the birth up to which keys have expired.
func (l Limits) horizon(now Timestamp) Timestamp { return now.Add(-l.Retention) }
