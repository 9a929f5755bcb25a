// Package directory keeps what this daemon believes of the operators'
// configuration, of the named versions of weights and of the back ends, all read
// from the platform's store. One goroutine owns the belief and publishes it as an
// immutable relay.State; others only read the store and post what they read.
package directory

import (
	"context"
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

// Listed is the list of back ends.
type Listed struct {
	Reading
	Backends []backendpool.Backend
	// Malformed holds the findings on rows that could not be read.
	Malformed error
}

// Table names a group of rows that are watched together.
type Table int

// The tables.
const (
	TableDeclared Table = iota
	TableBackends
)

// String names the table for logs.
func (t Table) String() string {
	if t == TableBackends {
		return "back_ends"
	}
	return "declared"
}

// Source reads the platform's store.
type Source interface {
	// Declared reads the operators' rows. The configuration is left out when its
	// row has the known version.
	Declared(ctx context.Context, known uint64) (Declared, error)
	Backends(ctx context.Context) (Listed, error)
	// Wait returns when a row of the table may have changed after a version, or
	// after a time. It returns the version to wait after next.
	Wait(ctx context.Context, table Table, after uint64, wait time.Duration) (uint64, error)
}
