package directory

import (
	"context"
	"errors"
)

// errNotListed is returned while this daemon doesn't know the list of back ends.
var errNotListed = errors.New("the list of back ends is not known")

// RefreshBackends asks the store for changes of the list and applies them, whoever reads the store for all. When it returns nil, the
// list is as of a moment after the call.
func (d *Directory) RefreshBackends(ctx context.Context) error {
	if !d.listed.Load() {
		return errNotListed
	}
	got, _, _ := d.backendChanges(ctx, d.positions[tableBackends].Load(), 0)
	if got.err != nil {
		return got.err
	}
	got.applied = make(chan struct{})
	d.post(ctx, got)
	select {
	case <-got.applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
