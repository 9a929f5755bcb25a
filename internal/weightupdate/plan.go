// Package weightupdate brings the back ends of a model to its newest named version of
// weights, a few at a time. One daemon at a time gives the orders: the holder of
// a lease. Each order carries the lease's fencing token and the back end's count
// of orders, so that one that is carried out late changes nothing. All daemons
// follow the holder's plan, a row of the platform's table.
package weightupdate

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Keys of the rows in the platform's table. They are part of what daemons of different
// releases share while one replaces the other: with two names there would be two holders.
const (
	KeyLease = "lease/rollout"
	KeyPlan  = "plan/rollout"
)

// Plan is what the holder tells the other daemons.
type Plan struct {
	Token identity.FencingToken
	// Loading back ends take new weights now or very soon; they get no requests.
	Loading []identity.BackendID
	// Next are those whose turn is next; they get short requests only.
	Next []identity.BackendID
	// Loaded are the versions that back ends hold, where the list may not yet say so.
	Loaded []Loaded
}

// Loaded is a version of a model's weights at a back end.
type Loaded struct {
	Backend identity.BackendID
	Model   identity.ModelName
	Version uint64
}

// Encode returns the row value of a plan.
func (p *Plan) Encode() ([]byte, error) { return msgpack.Marshal(p) }

// DecodePlan reads a row value.
func DecodePlan(value []byte) (*Plan, error) {
	var plan Plan
	if err := codec.Unmarshal(value, &plan); err != nil {
		return nil, err
	}
	return &plan, nil
}

// Follow makes the pool heed a plan.
func (p *Plan) Follow(pool *backendpool.Pool) {
	pool.SetLeaving(backendpool.Leaving{Now: keysOf(p.Loading), Soon: keysOf(p.Next)})
	for _, loaded := range p.Loaded {
		pool.LearnVersion(loaded.Backend, loaded.Model, loaded.Version)
	}
}

// Report is what a back end says of itself; it may be some hundred milliseconds old.
type Report struct {
	// Incarnation is of the life that reports; zero where it doesn't tell.
	Incarnation identity.Incarnation
	// Busy is set while an order is under way.
	Busy bool
	// Sequence counts the orders that the back end took since its start.
	Sequence uint64
	Versions map[identity.ModelName]uint64
}

// EndedError says that a back end has started again since it was listed.
type EndedError struct {
	Backend identity.BackendID
	// Later is of the life that answered.
	Later identity.Incarnation
}

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("%s has ended: %d answers", e.Backend, e.Later)
}

// Order asks a back end to load a version of a model's weights.
type Order struct {
	Backend backendpool.Backend
	Model   identity.ModelName
	Version uint64
	Holder  identity.DaemonID
	Token   identity.FencingToken
	// Expected is the count of orders at which the order may be carried out.
	Expected uint64
}

// Reply is a back end's answer to an order.
type Reply int

// The replies.
const (
	// ReplyTaken: the order is under way.
	ReplyTaken Reply = iota
	// ReplyHolds: the back end holds the version already.
	ReplyHolds
	// ReplyConflict: another order is or was under way.
	ReplyConflict
	// ReplyFenced: a newer holder has given orders.
	ReplyFenced
	// ReplyReplaced: another back end has the address.
	ReplyReplaced
	// ReplyRefused: the order is malformed or unknown there.
	ReplyRefused
)

// String names the reply for logs.
func (r Reply) String() string {
	switch r {
	case ReplyTaken:
		return "taken"
	case ReplyHolds:
		return "holds"
	case ReplyConflict:
		return "conflict"
	case ReplyFenced:
		return "fenced"
	case ReplyReplaced:
		return "replaced"
	default:
		return "refused"
	}
}

// Orders calls back ends.
type Orders interface {
	Report(ctx context.Context, backend backendpool.Backend) (Report, error)
	// Give sends an order. After an error the order may have been taken, or may be
	// carried out later.
	Give(ctx context.Context, order Order) (Reply, error)
}

// Named tells which versions are to be loaded.
type Named interface {
	// Targets returns the newest named version of each model.
	Targets() map[identity.ModelName]uint64
}

// Lease tells whether this daemon may give orders.
type Lease interface {
	// Held returns the fencing token and true while the lease is held.
	Held() (identity.FencingToken, bool)
	// SetActing says whether orders are to be given, and MayAct returns the fencing token
	// and true while they may be. TryAct is as MayAct, just before an order is given.
	SetActing(acting bool)
	MayAct() (identity.FencingToken, bool)
	TryAct() (identity.FencingToken, bool)
	// Row returns the lease's row, and Hear takes it in as its holder has told it.
	Row() port.Row
	Hear(row port.Row)
}

// Times of an update.
const (
	tickInterval   = 60 * time.Millisecond
	reportInterval = 150 * time.Millisecond
	callTimeout    = 700 * time.Millisecond
	// reportTimeout bounds a call for a report, which takes no place at the back end.
	reportTimeout = 400 * time.Millisecond
	planTimeout   = 400 * time.Millisecond
	// writeInterval is how often the plan's row is written where it is announced too.
	writeInterval = time.Second
	// spreadTime is how long the other daemons may take to follow a plan.
	spreadTime = 40 * time.Millisecond
	// orderTime bounds the work on one back end before it is looked at anew.
	orderTime = 6 * time.Second
	// orderTimeout bounds the wait for the answer to an order. An order that got none
	// is given again with the same expected count, so that waiting longer gains nothing.
	orderTimeout = 300 * time.Millisecond
	// actWait is how long an order waits for the lease's row to say that orders are given.
	actWait = time.Second
	// settleTime is about how old a report may be.
	settleTime = 250 * time.Millisecond
	// toleratedSilence is how many calls in a row a back end may leave unanswered before
	// its order.
	toleratedSilence = 1
	// passOverTime is how long a back end gets no order after it did not answer, or
	// another one did at its address: its row may still be listed, and must not keep the
	// others waiting.
	passOverTime = 2 * time.Second
	// loadShare is one over the share of a model's back ends that load at a time
	// without haste, and hastyShare over the largest.
	loadShare  = 6
	hastyShare = 4
	// outShare is one over the share of a model's back ends that get no new requests
	// since they load or are about to.
	outShare = 3
	// maximumNext bounds the back ends that are told to be next: the plan has to fit into a
	// datagram.
	maximumNext = 256
	// calmReading is up to how much waits to be read at a back end in the mean, in
	// tokens, while the others can do without those that are about to load.
	calmReading = 2000
	// drainTime is how long it is waited for the requests under way at a back end, and
	// drainCheckInterval how often it is looked.
	drainTime          = time.Second
	drainCheckInterval = 20 * time.Millisecond
	// expectedLoadTime is how long a back end takes before any has been seen to.
	expectedLoadTime = 1500 * time.Millisecond
	// loadTimeWeight is the weight of the newest in the mean time that a load takes.
	loadTimeWeight = 0.3
	// usedShare of the time that is left is planned with; the rest is for what goes wrong.
	usedShare = 0.9
)
