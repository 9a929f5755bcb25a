// Package directory keeps what this daemon believes of the operators'
// configuration, of the named versions of weights and of the back ends, all read
// from the platform's store. One goroutine owns the belief and publishes it as an
// immutable relay.State; others only read the store and post what they read.
package directory

import (
	"context"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// Reading tells of which moment an answer of the store is.
type Reading struct {
	// Version is the store's newest version at that moment; it never falls.
	Version uint64
	// Clock is the store's own steady clock.
	Clock time.Duration
	// Bytes is about how large the answer was.
	Bytes int
}

// Declared is what operators have declared.
type Declared struct {
	Reading
	// Found is false before the first configuration.
	Found bool
	// RowVersion is the store's version of the configuration's row.
	RowVersion uint64
	// Configuration is nil when the row is the known one or malformed.
	Configuration *routing.Configuration
	// Versions are the named versions of the models' weights.
	Versions map[identity.ModelName]uint64
	// Malformed holds the findings on rows that could not be read.
	Malformed error
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

// Changes are back ends that changed since a version of the store.
type Changes struct {
	Changed []backendpool.Backend
	Gone    []identity.BackendID
	// After is the version since which these are all the changes.
	After uint64
	// Last is the store's version of the newest change, or zero without any.
	Last uint64
	// Malformed holds the findings on rows that could not be read.
	Malformed error
}

// Put notes that a back end is there as given, whatever was noted of it before.
func (c *Changes) Put(backend backendpool.Backend) {
	c.forget(backend.ID)
	c.Changed = append(c.Changed, backend)
}

// Remove notes that a back end is gone, whatever was noted of it before.
func (c *Changes) Remove(id identity.BackendID) {
	c.forget(id)
	c.Gone = append(c.Gone, id)
}

func (c *Changes) forget(id identity.BackendID) {
	c.Changed = slices.DeleteFunc(c.Changed, func(backend backendpool.Backend) bool { return backend.ID == id })
	c.Gone = slices.DeleteFunc(c.Gone, func(gone identity.BackendID) bool { return gone == id })
}

// Source reads the platform's store. Its calls about changes return when there is
// a change after a version, or after a time. They fail when the store no longer
// knows its history from that version on.
type Source interface {
	// Declared reads the operators' rows. The configuration is left out when its
	// row has the known version.
	Declared(ctx context.Context, known uint64) (Declared, error)
	// DeclaredChanged tells whether operators' rows changed.
	DeclaredChanged(ctx context.Context, after uint64, wait time.Duration) (bool, error)
	// Backends reads the page of the list that begins at a place; empty is the first.
	Backends(ctx context.Context, from string) (Listed, error)
	BackendChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}
