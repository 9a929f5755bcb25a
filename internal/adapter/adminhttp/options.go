// Package adminhttp serves the administration API: operators' queries and
// commands over HTTP with JSON, for operators who authenticate with bearer
// tokens and have a role.
package adminhttp

import (
	"cmp"
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
)

// Configuration is the daemon's access to the shared configuration.
type Configuration interface {
	// Document returns the newest document that the daemon has.
	Document() *dynamic.Document
	// Propose commits a change. It fails with *finding.Error, with
	// *dynamic.ConflictError, with *revision.ReusedIDError, with
	// *port.OutcomeUnknownError when the change may have been committed, and with
	// any other error when it was not.
	Propose(ctx context.Context, change dynamic.Change) (Accepted, error)
	// Audit returns up to limit accepted changes after a revision, oldest first.
	Audit(ctx context.Context, after identity.Revision, limit int) ([]query.AcceptedChange, error)
}

// Accepted says that a change is committed.
type Accepted struct {
	Revision identity.Revision
	// Repeated is set when the change had been accepted before.
	Repeated bool
}

// State gives this daemon's own part of a table. It is asked for the sources hot
// prefixes, waiting requests, engines, backends, daemons and tenants.
type State interface {
	Table(ctx context.Context, source query.Source) (query.Table, error)
}

// Peers asks all other daemons for their parts of a table, in parallel, until
// the context ends. A daemon that has not answered by then is missing.
type Peers interface {
	Tables(ctx context.Context, source query.Source) PeerTables
}

// PeerTables are the answers of other daemons.
type PeerTables struct {
	Tables  []query.Table
	Missing []identity.DaemonID
}

// Defaults of Options.
const (
	// DefaultAskTimeout bounds the questions to other daemons for one query.
	DefaultAskTimeout = time.Second
	// DefaultCommandTimeout bounds one command with all its tries.
	DefaultCommandTimeout = 20 * time.Second
)

// Options make a Handler. All fields up to Log are needed.
type Options struct {
	Self          identity.DaemonID
	Operators     []static.Operator
	Configuration Configuration
	State         State
	Peers         Peers
	Log           logrus.FieldLogger

	Clock          func() time.Time
	NewChangeID    func() string
	AskTimeout     time.Duration
	CommandTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.NewChangeID == nil {
		o.NewChangeID = uuid.NewString
	}
	o.AskTimeout = cmp.Or(o.AskTimeout, DefaultAskTimeout)
	o.CommandTimeout = cmp.Or(o.CommandTimeout, DefaultCommandTimeout)
	return o
}
