package adminhttp

import (
	"context"
	"fmt"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

// auditLength is how many of the newest changes a query of the audit sees.
const auditLength = 1000

func (h *Handler) show(ctx context.Context, show *query.Show) (any, *adminwire.Error) {
	ctx, cancel := context.WithTimeout(ctx, h.options.AskTimeout)
	defer cancel()
	whole, missing, err := h.wholeTable(ctx, show.Source)
	if err != nil {
		return nil, &adminwire.Error{Code: adminwire.CodeUnavailable, Message: err.Error()}
	}
	table, err := query.Evaluate(show, whole)
	if err != nil {
		return nil, &adminwire.Error{Code: adminwire.CodeUnavailable, Message: err.Error()}
	}
	response := adminwire.Response{Table: &table}
	if len(missing) > 0 {
		slices.Sort(missing)
		response.Partial = &adminwire.Partial{Missing: missing}
	}
	return response, nil
}

// wholeTable gathers the table of a source from all daemons that have a part.
func (h *Handler) wholeTable(ctx context.Context, source query.Source) (query.Table, []identity.DaemonID, error) {
	switch source {
	case query.SourceAudit:
		changes, err := h.latest(ctx, auditLength)
		return query.AuditTable(changes), nil, err
	case query.SourceLeavingBackends:
		backends, missing, err := h.wholeTable(ctx, query.SourceBackends)
		return query.OnlyLeaving(backends), missing, err
	}
	own, err := h.LocalTable(ctx, source)
	if err != nil || source.Scope() == query.ScopeDocument {
		return own, nil, err
	}
	answers := h.options.Peers.Tables(ctx, source)
	tables, missing := verified(source, append([]query.Table{own}, answers.Tables...))
	if missing > 0 {
		h.options.Log.Warnf("%d daemons gave unusable answers about %s.", missing, source)
	}
	merged, err := query.Merge(source, tables...)
	if err == nil && source.Scope() == query.ScopeInForce {
		merged = query.CompareRevisions(merged, answers.Missing)
	}
	return merged, answers.Missing, err
}

// verified drops answers that don't have the columns of the source, such as
// those of daemons of another version, and counts them.
func verified(source query.Source, tables []query.Table) ([]query.Table, int) {
	usable := slices.DeleteFunc(tables, func(table query.Table) bool { return table.Verify(source) != nil })
	return usable, len(tables) - len(usable)
}

// LocalTable gives this daemon's own part of a table. Other daemons ask for it
// through the peer calls.
func (h *Handler) LocalTable(ctx context.Context, source query.Source) (query.Table, error) {
	document := h.options.Configuration.Document()
	switch source {
	case query.SourceEvents:
		return query.EventTable(document, h.options.Clock()), nil
	case query.SourceModels:
		return query.ModelTable(document), nil
	case query.SourceRevisions:
		return query.RevisionTable(document), nil
	case query.SourceInForce:
		return query.TableOf([]query.InForce{{Daemon: h.options.Self, Revision: document.Revision, Reachable: true}}), nil
	case query.SourceHotPrefixes, query.SourceWaitingRequests, query.SourceEngines,
		query.SourceBackends, query.SourceDaemons, query.SourceTenants:
		return h.options.State.Table(ctx, source)
	default:
		return query.Table{}, fmt.Errorf("no daemon has a part of %q", source)
	}
}
