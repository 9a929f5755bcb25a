// Package weightupdate updates the back ends of a model to the newest named version of its weights, a few at a time.
// Only the holder of a lease sends load orders. Each order carries the lease's fencing token and the back end's order
// count, so that a delayed order has no effect. All daemons follow the holder's plan, which is announced and stored as
// a row of the platform's table.
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

// Keys of the rows in the platform's table. Daemons of different releases share them during a rolling upgrade: with
// different names there would be two holders.
const (
	KeyLease = "lease/rollout"
	KeyPlan  = "plan/rollout"
)

// Plan is the state of the update that the holder publishes to the other daemons.
type Plan struct {
	Token identity.FencingToken
	// Loading are the back ends that load new weights now or are about to; they get no new requests.
	Loading []identity.BackendID
	// Next are the back ends that are updated next; they get short requests only.
	Next []identity.BackendID
	// Loaded are the versions that back ends have loaded, which the back-end list may not show yet.
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

// Follow updates the pool's routing state from a plan.
func (p *Plan) Follow(pool *backendpool.Pool) {
	pool.SetLeaving(backendpool.Leaving{Now: backendKeys(p.Loading), Soon: backendKeys(p.Next)})
	for _, loaded := range p.Loaded {
		pool.LearnVersion(loaded.Backend, loaded.Model, loaded.Version)
	}
}

// Report is a back end's own status; it may be some hundred milliseconds old.
type Report struct {
	// Incarnation identifies the run of the back end that reports; zero if it doesn't say.
	Incarnation identity.Incarnation
	// Busy is set while an order is carried out.
	Busy bool
	// Sequence counts the orders that the back end has accepted since its start.
	Sequence uint64
	Versions map[identity.ModelName]uint64
}

// EndedError reports that a back end has restarted since it was listed.
type EndedError struct {
	Backend identity.BackendID
	// Later is the incarnation that answered.
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
	// Expected is the order count that the back end must have to accept the order.
	Expected uint64
}

// Reply is a back end's answer to an order.
type Reply int

// Replies to an order.
const (
	// ReplyTaken: the order was accepted and is being carried out.
	ReplyTaken Reply = iota
	// ReplyHolds: the back end already holds the version.
	ReplyHolds
	// ReplyConflict: another order is being carried out, or the order count differs.
	ReplyConflict
	// ReplyFenced: the back end has accepted an order with a newer fencing token.
	ReplyFenced
	// ReplyReplaced: another back end has taken over the address.
	ReplyReplaced
	// ReplyRefused: the back end rejects the order as malformed or unknown.
	ReplyRefused
)

// String returns the reply's name for logs.
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

// Orders requests reports from back ends and sends them orders.
type Orders interface {
	Report(ctx context.Context, backend backendpool.Backend) (Report, error)
	// SendOrder sends an order. After an error the order may have been accepted, or may still be carried out later.
	SendOrder(ctx context.Context, order Order) (Reply, error)
}

// Named provides the versions to load.
type Named interface {
	// Targets returns the newest named version of each model.
	Targets() map[identity.ModelName]uint64
}

// Lease decides whether this daemon may send orders.
type Lease interface {
	// Held returns the fencing token and true while the lease is held.
	Held() (identity.FencingToken, bool)
	// SetActing sets whether the holder wants to send orders. MayAct returns the fencing token and true while it may.
	// TryAct is like MayAct, for a caller that sends an order immediately afterwards.
	SetActing(acting bool)
	MayAct() (identity.FencingToken, bool)
	TryAct() (identity.FencingToken, bool)
	// Row returns the lease's row, and ObserveRow accepts the row that the holder has announced.
	Row() port.Row
	ObserveRow(row port.Row)
}

// Timing and concurrency limits of an update.
const (
	tickInterval   = 60 * time.Millisecond
	reportInterval = 150 * time.Millisecond
	callTimeout    = 700 * time.Millisecond
	// reportTimeout limits a report call, which occupies no slot at the back end.
	reportTimeout = 400 * time.Millisecond
	planTimeout   = 400 * time.Millisecond
	// writeInterval is the minimum time between writes of the plan's row if the plan is also announced.
	writeInterval = time.Second
	// planPropagationDelay is how long the other daemons may take to apply a plan.
	planPropagationDelay = 40 * time.Millisecond
	// updateTimeout limits one attempt to update a back end, after which it is scheduled again.
	updateTimeout = 6 * time.Second
	// orderTimeout limits the wait for the reply to an order. An order without a reply is sent again with the same
	// expected count, so that waiting longer gains nothing.
	orderTimeout = 300 * time.Millisecond
	// permissionTimeout is how long an order waits until the lease's row records that the holder acts.
	permissionTimeout = time.Second
	// reportSettleDelay is the wait after a failed order until reports reflect it: about the age that a report may have.
	reportSettleDelay = 250 * time.Millisecond
	// maxUnansweredReports is how many report calls a back end may leave unanswered before its order.
	maxUnansweredReports = 1
	// suspendDuration is how long a back end gets no order after it did not answer, or after another one answered at its
	// address. Its row may still be listed and must not delay the others.
	suspendDuration = 2 * time.Second
	// A model's back ends are divided by normalLoadDivisor for the number that load at a time while the deadline is far,
	// and by urgentLoadDivisor for the maximum when it is near.
	normalLoadDivisor = 6
	urgentLoadDivisor = 4
	// unavailableDivisor divides a model's back ends for the number that get no new requests because they load or are
	// about to.
	unavailableDivisor = 3
	// maxNext limits the back ends that the plan lists as next: the plan must fit into a datagram.
	maxNext = 256
	// lowReadingTokens is the mean number of prompt tokens waiting at a back end below which the others can also do
	// without those that are about to load.
	lowReadingTokens = 2000
	// drainTimeout limits the wait for the requests in flight at a back end, and drainCheckInterval is the period of the
	// checks.
	drainTimeout       = time.Second
	drainCheckInterval = 20 * time.Millisecond
	// initialLoadTime is the estimate of a load's duration before any has been measured.
	initialLoadTime = 1500 * time.Millisecond
	// loadTimeSmoothing is the weight of the newest load in the moving average of load times.
	loadTimeSmoothing = 0.3
	// usableTimeShare is the share of the time to the deadline that is planned for; the rest is reserved for failures.
	usableTimeShare = 0.9
)
