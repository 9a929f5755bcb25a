// Package directory maintains a daemon's copy of the operators' configuration, the named versions of weights, the
// list of back ends and the list of daemons. One daemon at a time, the reader, reads all that from the platform's
// store and broadcasts it to the others in bulletins. A daemon that missed some bulletins, or has just started,
// fetches an update from another daemon. A single goroutine owns the data and publishes it as an immutable
// relay.State; the other goroutines only read the store or ask daemons, and post the results.
package directory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/member"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// Reading describes the moment of an answer of the store.
type Reading struct {
	// Version is the store's newest version at that moment, as a position (port.PositionOf), which never falls,
	// even if the store is restored from a backup.
	Version uint64
	// Clock is the store's own monotonic clock.
	Clock time.Duration
	// Bytes is the approximate size of the answer.
	Bytes int
}

// Declared is what operators have declared.
type Declared struct {
	Reading
	// Found is false before the first configuration.
	Found bool
	// RowVersion is the store's version of the configuration's row.
	RowVersion uint64
	// Rows are the store's versions of all rows that this was read from, by key. A row that doesn't exist yet, but
	// would belong to it, has version zero.
	Rows map[string]uint64
	// Configuration is nil if its row is malformed.
	Configuration *routing.Configuration
	// Versions are the named versions of the models' weights. VersionRows are the store's versions of the rows that
	// name them, as far as known.
	Versions    map[identity.ModelName]uint64
	VersionRows map[identity.ModelName]uint64
	// Orders are the operators' orders to move services to back ends of other software versions. Standings are the
	// progress of these as recorded by daemons. Both are empty if roll-outs are off. Rows that could not be read
	// are omitted.
	Orders    []rollout.Order
	Standings []rollout.Standing
	// Malformed holds the findings on rows that could not be read.
	Malformed error
}

// DeclaredChange reports whether rows of the operators changed after a version.
type DeclaredChange struct {
	// Reading describes the moment of the answer.
	Reading
	Changed bool
}

// Listed is a page of the list of back ends.
type Listed struct {
	Reading
	// Next is where the next page begins; empty after the last one.
	Next     string
	Backends []backendpool.Backend
	// Malformed holds the findings on rows that could not be read.
	Malformed error
}

// Changes are the back ends that changed since a version of the store.
type Changes struct {
	// Reading describes the moment of the answer.
	Reading
	Changed []backendpool.Backend
	Gone    []identity.BackendName
	// After is the version since which these are all the changes.
	After uint64
	// Last is the store's version of the newest change; zero if there is none.
	Last uint64
	// Malformed holds the findings on rows that could not be read.
	Malformed error
}

// Put records that a back end exists as given, replacing earlier records of it.
func (c *Changes) Put(backend backendpool.Backend) {
	c.forget(backend.ID.Name())
	c.Changed = append(c.Changed, backend)
}

// Remove records that a back end is gone, replacing earlier records of it.
func (c *Changes) Remove(name identity.BackendName) {
	c.forget(name)
	c.Gone = append(c.Gone, name)
}

func (c *Changes) forget(name identity.BackendName) {
	c.Changed = slices.DeleteFunc(c.Changed, func(backend backendpool.Backend) bool { return backend.ID.Name() == name })
	c.Gone = slices.DeleteFunc(c.Gone, func(gone identity.BackendName) bool { return gone == name })
}

// Members are daemons as read from rows of the store.
type Members struct {
	Reading
	// Next is where the next page begins; empty after the last one.
	Next string
	Rows []MemberRow
	// Last is the store's version of the newest of these rows; zero if there are none.
	Last uint64
	// Malformed holds the findings on rows that could not be read.
	Malformed error
}

// MemberRow is one daemon with the version of its row.
type MemberRow struct {
	member.Descriptor
	Version uint64
}

// InOrder returns the daemons ordered by the age of their rows, oldest first. Of two rows with the same address
// only the newer one is returned.
func (m *Members) InOrder() []member.Descriptor {
	newest := map[string]uint64{}
	for _, row := range m.Rows {
		newest[row.Address] = max(newest[row.Address], row.Version)
	}
	rows := slices.DeleteFunc(slices.Clone(m.Rows), func(row MemberRow) bool { return row.Version < newest[row.Address] })
	slices.SortFunc(rows, func(left, right MemberRow) int { return cmp.Compare(left.Version, right.Version) })
	list := make([]member.Descriptor, 0, len(rows))
	for _, row := range rows {
		list = append(list, row.Descriptor)
	}
	return list
}

// Source reads the platform's store. Calls for changes return once there is a change after a version, or after a
// time. They fail if the store no longer has its history from that version on.
type Source interface {
	// Declared reads the operators' rows.
	Declared(ctx context.Context) (Declared, error)
	// Unchanged reports whether the operators' rows, given by key, still have the given versions. The answer is
	// never of an earlier moment than the call.
	Unchanged(ctx context.Context, rows map[string]uint64) (bool, error)
	// DeclaredChanges returns once a row of the operators changed after a version, or after a time.
	DeclaredChanges(ctx context.Context, after uint64, wait time.Duration) (DeclaredChange, error)
	// Backends reads the page of the list that begins at a place; empty selects the first.
	Backends(ctx context.Context, from string) (Listed, error)
	BackendChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Members reads the page of the daemons' rows that begins at a place.
	Members(ctx context.Context, from string) (Members, error)
	// MemberChanges returns the rows that changed.
	MemberChanges(ctx context.Context, after uint64, wait time.Duration) (Members, error)
}

// Contacts finds other daemons while this one knows none, and registers this one with them.
type Contacts interface {
	// Find returns the addresses of a few daemons, some of which may be gone, and the approximate number of all
	// daemons.
	Find(ctx context.Context) (addresses []string, about int, err error)
}

// Peers sends requests to other daemons.
type Peers interface {
	// Update asks the daemon at an address for its data, as far as it differs from what the asker has. A daemon
	// that lacks what the asker needs answers after a moment with what it has. Update fails if no data comes for
	// too long. It calls begun, which may be nil, once the answer has begun.
	Update(ctx context.Context, address string, have Have, begun func()) (Update, error)
}
