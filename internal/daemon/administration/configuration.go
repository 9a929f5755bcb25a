// Package administration connects the administration API with the parts of a
// daemon: the configuration runner, the published view, and the other daemons.
package administration

import (
	"context"
	"errors"

	"github.com/lotusward/lotusward/internal/adapter/adminhttp"
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/daemon/configuration"
	"github.com/lotusward/lotusward/internal/port"
)

// serviceName names the configuration in errors.
const serviceName = "configuration"

// Configuration implements adminhttp.Configuration by the daemon's runner.
type Configuration struct {
	Runner *configuration.Runner
}

// Document implements adminhttp.Configuration.
func (c Configuration) Document() *dynamic.Document { return c.Runner.Document() }

// Propose implements adminhttp.Configuration.
func (c Configuration) Propose(ctx context.Context, change dynamic.Change) (adminhttp.Accepted, error) {
	accepted, err := c.Runner.Propose(ctx, change)
	var unknown *configuration.OutcomeUnknownError
	var notCommitted *configuration.NotCommittedError
	switch {
	case errors.As(err, &unknown):
		// The cause may hold errors of single tries; only the outcome counts.
		return adminhttp.Accepted{}, &port.OutcomeUnknownError{Service: serviceName, Cause: errors.New(unknown.Error())}
	case errors.As(err, &notCommitted):
		return adminhttp.Accepted{}, &port.UnavailableError{Service: serviceName, Cause: errors.New(notCommitted.Error())}
	case err != nil:
		return adminhttp.Accepted{}, err
	}
	return adminhttp.Accepted{Revision: accepted.Revision, Repeated: accepted.Repeated}, nil
}

// Audit implements adminhttp.Configuration.
func (c Configuration) Audit(ctx context.Context, after identity.Revision, limit int) ([]query.AcceptedChange, error) {
	rows, err := c.Runner.Audit(ctx, after, limit)
	if err != nil {
		return nil, err
	}
	changes := make([]query.AcceptedChange, 0, len(rows))
	for _, row := range rows {
		changes = append(changes, query.AcceptedChange{Revision: row.Revision, Change: row.Change})
	}
	return changes, nil
}
