package claims

import (
	"context"
	"sync"

	"github.com/cenkalti/backoff/v5"

	"github.com/lotusward/lotusward/internal/core/claim"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// grant is a claim of this daemon.
type grant struct {
	key      claim.Key
	claimant claim.Claimant
	// born is zero for a claim in the table.
	born claim.Timestamp
	// version is the version of the claim's row in the table.
	version uint64
}

// grants are the granted claims that have not been settled.
type grants struct {
	mutex sync.Mutex
	byKey map[claim.Key]grant
}

func (g *grants) add(granted grant) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.byKey == nil {
		g.byKey = map[claim.Key]grant{}
	}
	g.byKey[granted.key] = granted
}

func (g *grants) take(key claim.Key) (grant, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	granted, found := g.byKey[key]
	delete(g.byKey, key)
	return granted, found
}

// Settle implements port.Claims. It returns at once; the replicas are told in
// the background.
func (r *Runner) Settle(key port.ClaimKey, state identity.RunState) {
	granted, found := r.granted.take(claim.KeyOf(key.Tenant, key.Service, key.Key))
	if !found {
		return
	}
	if granted.born == 0 {
		r.settleInTable(granted, state)
		return
	}
	r.settle(granted, state)
	if state != identity.RunStateNotRun {
		r.committer.writeOutcome(granted, state)
	}
}

// settle tells the replicas of the key how the claim ended, again and again
// until a majority of the newest group has recorded it.
func (r *Runner) settle(granted grant, state identity.RunState) {
	r.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.options.Timing.Settle)
		defer cancel()
		tell := func() (struct{}, error) { return struct{}{}, r.tellReplicas(ctx, granted, state) }
		_, err := backoff.Retry(ctx, tell, backoff.WithBackOff(backoff.NewExponentialBackOff()))
		if err != nil {
			r.options.Log.WithError(err).Debug("Claim could not be settled with a majority.")
		}
	})
}

// unsettledError says that too few replicas recorded the end of a claim.
type unsettledError struct{}

// Error implements error.
func (unsettledError) Error() string { return "too few replicas recorded the end of the claim" }

// tellReplicas tells all replicas once. A majority suffices: a later claimant of
// the key meets it.
func (r *Runner) tellReplicas(ctx context.Context, granted grant, state identity.RunState) error {
	groups := r.groups.Load()
	group := groups.Of(granted.key.Slot())
	request := claim.SettleRequest{
		Epoch: groups.Epoch, Key: granted.key, Claimant: granted.claimant, Born: granted.born, State: state,
	}
	done := make(chan bool, len(group))
	for _, member := range group {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, r.options.Timing.Call)
			defer cancel()
			reply, err := call(ctx, r, member, PathSettle, request, r.HandleSettle)
			done <- err == nil && reply.Done
		}()
	}
	recorded := 0
	for range group {
		if <-done {
			recorded++
		}
	}
	if recorded < group.Majority() {
		return unsettledError{}
	}
	return nil
}

// lookUp asks the table for the outcome of a key that the replicas do not know
// enough of.
func (r *Runner) lookUp(claimed grant) port.ClaimVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Timing.Lookup)
	defer cancel()
	rows, err := r.options.Table.Read(ctx, outcomeKey(claimed))
	if err != nil || len(rows) == 0 {
		return port.ClaimInDoubt
	}
	if decodeRow(rows[0].Value).State == rowRan {
		return port.ClaimRan
	}
	return port.ClaimInDoubt
}
