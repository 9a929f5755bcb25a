package configuration

import (
	"context"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
)

// InForce tells on how many daemons a revision is in force.
type InForce struct {
	Revision identity.Revision
	Daemons  int
	// Of is how many daemons the deployment has, alive or not.
	Of int
}

// InForce asks all daemons whether a revision, or a newer one, is in force.
// Daemons that don't answer don't count.
func (r *Runner) InForce(ctx context.Context, wanted identity.Revision) InForce {
	count := 0
	own := r.Status()
	if own.Head.Revision >= wanted && !own.Provisional {
		count++
	}
	for _, cast := range r.collectVotes(ctx, func([]vote) bool { return false }) {
		if cast.Revision >= wanted && !cast.Provisional {
			count++
		}
	}
	return InForce{Revision: wanted, Daemons: count, Of: r.options.Peers.Size()}
}

// Audit returns up to limit accepted changes that follow a revision, oldest
// first, as the table holds them. The operation of a change too large for a row
// is empty, and its object is named.
func (r *Runner) Audit(ctx context.Context, after identity.Revision, limit int) ([]revision.ChangeRow, error) {
	rows, err := r.options.Table.Scan(ctx, revision.PrefixChange, revision.ChangeKey(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]revision.ChangeRow, 0, len(rows))
	for _, row := range rows {
		change, err := revision.ReadChangeRow(row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}
