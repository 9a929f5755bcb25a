package claims

import (
	"context"

	"github.com/cenkalti/backoff/v5"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// claimInTable claims a key of unknown birth by a row of its own. Replicas have
// no part in it: votes and rows could otherwise grant the same key twice.
func (r *Runner) claimInTable(ctx context.Context, claimed grant) port.ClaimVerdict {
	value := row{Claimant: claimed.claimant, State: rowRunning}.encode()
	var expected uint64
	for {
		changed := &change{key: claimKey(claimed.key), value: value, expected: expected}
		result, ended := r.committer.apply(ctx, changed)
		switch {
		case !ended:
			if changed.submitted.Load() {
				r.freeRow(claimed)
			}
			return port.ClaimInDoubt
		case result.written:
			claimed.version = result.version
			r.granted.add(claimed)
			return port.ClaimGranted
		case result.present.State == rowFree:
			expected = result.version
		default:
			return verdictOf(result.present.State)
		}
	}
}

func verdictOf(state rowState) port.ClaimVerdict {
	switch state {
	case rowRunning:
		return port.ClaimRunning
	case rowRan:
		return port.ClaimRan
	default:
		return port.ClaimInDoubt
	}
}

// freeRow frees the row of a claim that was given up, should it have been
// written. Until then, others are told that the claim is running.
func (r *Runner) freeRow(claimed grant) {
	r.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.options.Timing.Settle)
		defer cancel()
		find := func() (uint64, error) { return r.ownRow(ctx, claimed) }
		version, err := backoff.Retry(ctx, find, backoff.WithBackOff(backoff.NewExponentialBackOff()))
		if err != nil || version == 0 {
			return
		}
		claimed.version = version
		r.settleInTable(claimed, identity.RunStateNotRun)
	})
}

// ownRow returns the version of the claim's own row, or zero when the row is
// another's or there is none.
func (r *Runner) ownRow(ctx context.Context, claimed grant) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timing.TableCall)
	defer cancel()
	rows, err := r.options.Table.Read(ctx, claimKey(claimed.key))
	if err != nil {
		return 0, err
	}
	if len(rows) == 0 || decodeRow(rows[0].Value).Claimant != claimed.claimant {
		return 0, nil
	}
	return rows[0].Version, nil
}

// settleInTable records how a claim in the table ended, in one of the next
// commits. Only the claim's own version of the row is replaced.
func (r *Runner) settleInTable(granted grant, state identity.RunState) {
	value := row{Claimant: granted.claimant, State: rowStateOf(state)}.encode()
	changed := &change{
		key: claimKey(granted.key), value: value,
		conditional: true, expected: granted.version, results: make(chan changeResult, 1),
	}
	if state == identity.RunStateNotRun {
		r.committer.writeBehind(&r.committer.claims, changed)
		return
	}
	r.committer.writeBehind(&r.committer.outcomes, changed)
}
