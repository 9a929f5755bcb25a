package directory

import (
	"context"
	"errors"

	"github.com/lotusward/lotusward/internal/port"
)

// maxRefreshedList is the number of back ends up to which a daemon reads the whole list to refresh it: one page.
const maxRefreshedList = 500

var (
	// errNotListed is returned while this daemon doesn't know the list of back ends.
	errNotListed = errors.New("the list of back ends is not known")
	// errOutdatedList is returned if the store answered with a list of an earlier moment.
	errOutdatedList = errors.New("the store's list of back ends is outdated")
)

// RefreshBackends asks the store for changes of the list, or for the whole list if the store has dropped its history, and applies them,
// whoever reads the store for all. When it returns nil, the list is as of a moment after the call.
func (d *Directory) RefreshBackends(ctx context.Context) error {
	if !d.listed.Load() {
		return errNotListed
	}
	position := d.positions[tableBackends].Load()
	got, _, _ := d.backendChanges(ctx, position, 0)
	var lost *port.NotFoundError
	if errors.As(got.err, &lost) && len(d.options.Pool.Backends()) <= maxRefreshedList {
		got, _ = d.readBackends(ctx)
	}
	if got.err != nil {
		return got.err
	}
	got.applied = make(chan struct{})
	d.post(ctx, got)
	select {
	case <-got.applied:
	case <-ctx.Done():
		return ctx.Err()
	}
	if got.listed != nil && (got.listed.Version < position || got.listed.Version > d.positions[tableBackends].Load()) {
		return errOutdatedList
	}
	return nil
}
