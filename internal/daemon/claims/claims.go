// Package claims runs the at-most-once claims of a daemon: it is a claim replica
// for other daemons, the coordinator of the claims of its own callers, and it
// writes outcomes behind to the platform's table. The decisions are in package
// core/claim; docs/design/claims.md has the protocol and its assumptions.
package claims

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/claim"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Paths of the calls between daemons.
const (
	PathClaim  = "/claims/v1/claim"
	PathSettle = "/claims/v1/settle"
	PathRead   = "/claims/v1/read"
)

// Caller calls another daemon. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, path string, request, response any) error
}

// Timing is how long the parts of a claim may take. Zero values are replaced by
// the defaults.
type Timing struct {
	// Claim bounds a claim that has no verdict yet. Default 250 ms.
	Claim time.Duration
	// Retry is the time after which replicas that did not vote are asked again.
	// Default 40 ms.
	Retry time.Duration
	// Call bounds one call to another daemon. Default 2 s: a late vote must still
	// be given back.
	Call time.Duration
	// Settle bounds the tries to tell replicas how a claim ended. Default 15 s.
	Settle time.Duration
	// Recovery is the time between two tries to catch up. Default 100 ms.
	Recovery time.Duration
	// ClaimCommit is the least time between two commits that carry claims on keys
	// of unknown birth. Default 20 ms.
	ClaimCommit time.Duration
	// OutcomeCommit is how long outcomes may wait for their commit. Default 1 s.
	OutcomeCommit time.Duration
	// TableCall bounds one call of the table. Default 1 s.
	TableCall time.Duration
	// Lookup bounds the look-up of an old key's outcome. Default 100 ms.
	Lookup time.Duration
}

func (t Timing) withDefaults() Timing {
	t.Claim = cmp.Or(t.Claim, 250*time.Millisecond)
	t.Retry = cmp.Or(t.Retry, 40*time.Millisecond)
	t.Call = cmp.Or(t.Call, 2*time.Second)
	t.Settle = cmp.Or(t.Settle, 15*time.Second)
	t.Recovery = cmp.Or(t.Recovery, 100*time.Millisecond)
	t.ClaimCommit = cmp.Or(t.ClaimCommit, 20*time.Millisecond)
	t.OutcomeCommit = cmp.Or(t.OutcomeCommit, time.Second)
	t.TableCall = cmp.Or(t.TableCall, time.Second)
	t.Lookup = cmp.Or(t.Lookup, 100*time.Millisecond)
	return t
}

// Options configure a Runner.
type Options struct {
	Self        identity.DaemonID
	Incarnation identity.Incarnation
	Caller      Caller
	Table       port.TableService
	Log         logrus.FieldLogger
	// Limits of the replica; claim.DefaultLimits when zero.
	Limits claim.Limits
	Timing Timing
	// Clock returns the time; time.Now when nil.
	Clock func() time.Time
}

// Runner implements port.Claims. Make it with New and run it with Run.
type Runner struct {
	options   Options
	replica   *replicaLoop
	committer *committer
	groups    atomic.Pointer[claim.Groups]
	sequence  atomic.Uint64
	granted   grants
	settling  sync.WaitGroup
}

var _ port.Claims = (*Runner)(nil)

// New makes a runner. It must be made at the start of the daemon's life, before
// any other daemon can reach it: what an earlier life knew is forgotten by then.
func New(options Options) *Runner {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	options.Limits = cmp.Or(options.Limits, claim.DefaultLimits())
	options.Timing = options.Timing.withDefaults()
	runner := &Runner{options: options, committer: newCommitter(options)}
	runner.replica = newReplicaLoop(options, runner.read)
	return runner
}

// Run owns the replica's state and writes to the table, until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	var committing sync.WaitGroup
	committing.Go(func() { r.committer.run(ctx) })
	err := r.replica.run(ctx)
	committing.Wait()
	return err
}

// Drain waits until all ends of claims were told to the replicas and written to
// the table, or until the context ends. A planned stop calls it after the last
// request, while Run still runs.
func (r *Runner) Drain(ctx context.Context) error {
	told := make(chan struct{})
	go func() {
		r.settling.Wait()
		close(told)
	}()
	select {
	case <-told:
		return r.committer.drain(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetRosters tells the rosters of a configuration, newest last. See
// claim.Replica.SetGroups for what one and two rosters mean.
func (r *Runner) SetRosters(ctx context.Context, rosters []dynamic.Roster) error {
	if len(rosters) == 0 {
		return nil
	}
	newest := claim.NewGroups(rosters[len(rosters)-1])
	var previous *claim.Groups
	if len(rosters) > 1 {
		previous = claim.NewGroups(rosters[len(rosters)-2])
	}
	err := r.replica.do(ctx, func(replica *claim.Replica, now claim.Timestamp) {
		replica.SetGroups(now, newest, previous)
	})
	if err != nil {
		return err
	}
	r.replica.hurryUp()
	r.publish(newest)
	return nil
}

// publish makes groups the ones that new claims use, unless newer ones are.
func (r *Runner) publish(newest *claim.Groups) {
	for {
		present := r.groups.Load()
		if present != nil && present.Epoch >= newest.Epoch {
			return
		}
		if r.groups.CompareAndSwap(present, newest) {
			return
		}
	}
}

// ConfigurationConfirmed tells that a read of the table that began in this life
// found this to be the newest roster's epoch. See claim.Replica.
func (r *Runner) ConfigurationConfirmed(ctx context.Context, epoch uint64) error {
	return r.replica.do(ctx, func(replica *claim.Replica, _ claim.Timestamp) {
		replica.ConfigurationConfirmed(epoch)
	})
}

// Status returns a summary of the replica.
func (r *Runner) Status(ctx context.Context) (claim.Status, error) {
	return ask(ctx, r.replica, func(replica *claim.Replica, _ claim.Timestamp) claim.Status {
		return replica.Status()
	})
}

// HandleClaim serves PathClaim.
func (r *Runner) HandleClaim(ctx context.Context, request claim.ClaimRequest) (claim.ClaimReply, error) {
	return ask(ctx, r.replica, func(replica *claim.Replica, now claim.Timestamp) claim.ClaimReply {
		return replica.HandleClaim(now, request)
	})
}

// HandleSettle serves PathSettle.
func (r *Runner) HandleSettle(ctx context.Context, request claim.SettleRequest) (claim.SettleReply, error) {
	return ask(ctx, r.replica, func(replica *claim.Replica, now claim.Timestamp) claim.SettleReply {
		return replica.HandleSettle(now, request)
	})
}

// HandleRead serves PathRead.
func (r *Runner) HandleRead(ctx context.Context, request claim.ReadRequest) (claim.ReadReply, error) {
	return ask(ctx, r.replica, func(replica *claim.Replica, now claim.Timestamp) claim.ReadReply {
		return replica.HandleRead(now, request)
	})
}

// read sends one read of the replica's recovery and gives it the answer.
func (r *Runner) read(ctx context.Context, read claim.Read) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timing.Call)
	defer cancel()
	reply, err := call(ctx, r, read.To, PathRead, read.Request, r.HandleRead)
	if err != nil {
		r.options.Log.WithError(err).WithField("daemon", read.To.ID).Debug("Claims could not be read.")
		return
	}
	_ = r.replica.do(ctx, func(replica *claim.Replica, now claim.Timestamp) {
		replica.HandleReadReply(now, reply)
	})
}

// call asks another daemon, or this one without the network.
func call[Request, Reply any](
	ctx context.Context, r *Runner, to dynamic.Daemon, path string, request Request,
	local func(context.Context, Request) (Reply, error),
) (Reply, error) {
	if to.ID == r.options.Self {
		return local(ctx, request)
	}
	var reply Reply
	err := r.options.Caller.Call(ctx, to.Address, path, request, &reply)
	return reply, err
}
