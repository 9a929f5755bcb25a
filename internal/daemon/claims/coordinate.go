package claims

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/claim"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Claim implements port.Claims.
func (r *Runner) Claim(ctx context.Context, key port.ClaimKey) port.ClaimVerdict {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timing.Claim)
	defer cancel()
	claimed := grant{
		key: claim.KeyOf(key.Tenant, key.Service, key.Key),
		claimant: claim.Claimant{
			Daemon: r.options.Self, Incarnation: r.options.Incarnation, Sequence: r.sequence.Add(1),
		},
	}
	if key.Born.IsZero() {
		return r.claimInTable(ctx, claimed)
	}
	claimed.born = claim.TimestampOf(key.Born)
	verdict := r.claimByVotes(ctx, claimed)
	switch verdict {
	case claim.VerdictGranted:
		r.granted.add(claimed)
		return port.ClaimGranted
	case claim.VerdictRunning:
		return port.ClaimRunning
	case claim.VerdictRan:
		return port.ClaimRan
	case claim.VerdictUnavailable:
		return port.ClaimUnavailable
	default:
		return r.lookUp(claimed)
	}
}

func (r *Runner) claimByVotes(ctx context.Context, claimed grant) claim.Verdict {
	groups := r.groups.Load()
	if groups == nil {
		return claim.VerdictInDoubt
	}
	round := &round{
		runner:      r,
		claimed:     claimed,
		coordinator: claim.NewCoordinator(groups, claimed.key, claimed.claimant, claimed.born),
		replies:     make(chan claim.ClaimReply),
		verdicts:    make(chan claim.Verdict, 1),
	}
	r.settling.Go(func() { round.run(ctx) })
	return <-round.verdicts
}

// round is one claim by votes. Its goroutine outlives the verdict until all
// calls have ended, so that a late vote is given back.
type round struct {
	runner      *Runner
	claimed     grant
	coordinator *claim.Coordinator
	// replies brings the answers; one with no sender stands for a failed call.
	replies     chan claim.ClaimReply
	outstanding int
	verdicts    chan claim.Verdict
	// released is set once the votes were given back, and lateVote when a vote
	// came after that.
	released, lateVote bool
}

func (o *round) run(ctx context.Context) {
	retry := time.NewTicker(o.runner.options.Timing.Retry)
	defer retry.Stop()
	deadline := ctx.Done()
	o.perform(o.coordinator.Start())
	for o.open() || o.outstanding > 0 {
		select {
		case reply := <-o.replies:
			o.outstanding--
			o.perform(o.coordinator.HandleReply(reply))
		case <-retry.C:
			o.retry()
		case <-deadline:
			deadline = nil
			o.perform(o.coordinator.Deadline())
		}
	}
	if o.lateVote {
		o.runner.settle(o.claimed, identity.RunStateNotRun)
	}
}

// open tells whether the claim has no final verdict yet.
func (o *round) open() bool {
	verdict := o.coordinator.Verdict()
	return verdict == claim.VerdictPending || verdict == claim.VerdictEpochChanged
}

// retry asks again, in the newest epoch once the claim's own has ended.
func (o *round) retry() {
	if o.coordinator.Verdict() != claim.VerdictEpochChanged {
		o.perform(o.coordinator.Retry())
		return
	}
	groups := o.runner.groups.Load()
	if groups.Epoch > o.coordinator.Epoch() {
		o.coordinator = claim.NewCoordinator(groups, o.claimed.key, o.claimed.claimant, o.claimed.born)
		o.perform(o.coordinator.Start())
	}
}

func (o *round) perform(actions []claim.Action) {
	release := false
	for _, action := range actions {
		switch action := action.(type) {
		case claim.SendClaim:
			o.outstanding++
			go o.send(action)
		case claim.SendRelease:
			release = true
		case claim.Decide:
			if action.Verdict != claim.VerdictEpochChanged {
				o.verdicts <- action.Verdict
			}
		}
	}
	if release {
		o.release()
	}
}

func (o *round) send(action claim.SendClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), o.runner.options.Timing.Call)
	defer cancel()
	reply, err := call(ctx, o.runner, action.To, PathClaim, action.Request, o.runner.HandleClaim)
	if err != nil {
		reply = claim.ClaimReply{}
	}
	o.replies <- reply
}

// release gives the votes back, to all replicas together. Late votes are given
// back when there can be no more of them.
func (o *round) release() {
	if o.released {
		o.lateVote = true
		return
	}
	o.released = true
	o.runner.settle(o.claimed, identity.RunStateNotRun)
}
