package administration

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Report is the newest status report of a back end.
type Report struct {
	Status   enginewire.Status
	Observed time.Time
	// Assigned counts the requests that this daemon has sent and that have not ended.
	Assigned int
}

// State implements adminhttp.State from the published view. Functions that are
// nil leave their tables or fields empty; all must be safe for any goroutine.
type State struct {
	Views port.Views

	HotPrefixes     func() []query.HotPrefix
	WaitingRequests func() []query.WaitingRequest
	Daemons         func() []query.Daemon
	// TenantUse gives this daemon's present work for a tenant.
	TenantUse func(tenant identity.TenantName) TenantUse
	// Report gives the newest status report of a back end, if there was one.
	Report func(backend identity.BackendID) (Report, bool)
}

// TenantUse is one daemon's present work for a tenant.
type TenantUse struct {
	TokensPerSecond float64
	Running         int
	Waiting         int
}

// Table implements adminhttp.State.
func (s *State) Table(_ context.Context, source query.Source) (query.Table, error) {
	switch source {
	case query.SourceHotPrefixes:
		return tableFrom(s.HotPrefixes), nil
	case query.SourceWaitingRequests:
		return tableFrom(s.WaitingRequests), nil
	case query.SourceDaemons:
		return tableFrom(s.Daemons), nil
	case query.SourceBackends:
		return query.TableOf(s.backends()), nil
	case query.SourceEngines:
		return query.TableOf(s.engines()), nil
	case query.SourceTenants:
		return query.TableOf(s.tenants()), nil
	default:
		return query.Table{}, fmt.Errorf("the view has no part of %q", source)
	}
}

func tableFrom[R any](rows func() []R) query.Table {
	if rows == nil {
		return query.TableOf[R](nil)
	}
	return query.TableOf(rows())
}

func (s *State) backends() []query.Backend {
	current := s.Views.View()
	rows := make([]query.Backend, 0, len(current.Backends))
	for _, backend := range current.Backends {
		report := s.reportOf(backend.ID)
		rows = append(rows, query.Backend{
			Backend:  backend.ID,
			Kind:     backend.Kind,
			Service:  backend.Service,
			Zone:     backend.Zone,
			Address:  backend.Address,
			Leaving:  backend.Leaving,
			Reason:   leavingReason(current, backend),
			Running:  report.Assigned,
			Observed: report.Observed,
		})
	}
	return rows
}

func (s *State) engines() []query.Engine {
	current := s.Views.View()
	rows := make([]query.Engine, 0, len(current.Backends))
	for _, backend := range current.Backends {
		if backend.Kind != identity.KindEngine {
			continue
		}
		report := s.reportOf(backend.ID)
		rows = append(rows, query.Engine{
			Engine:       backend.ID,
			Service:      backend.Service,
			Zone:         backend.Zone,
			Incarnation:  backend.Incarnation,
			Models:       loadedModels(backend.Models),
			Role:         report.Status.Role,
			Leaving:      backend.Leaving,
			Running:      report.Status.Load.Running,
			Waiting:      report.Status.Load.Waiting,
			Assigned:     report.Assigned,
			QueuedTokens: report.Status.Load.QueuedTokens,
			FreeBlocks:   report.Status.Load.FreeBlocks,
			TotalBlocks:  report.Status.Load.TotalBlocks,
			Observed:     report.Observed,
		})
	}
	return rows
}

// reportOf gives the newest report of a back end. Without one it has the zero
// time, so that another daemon's report goes before it in a merge.
func (s *State) reportOf(backend identity.BackendID) Report {
	if s.Report == nil {
		return Report{}
	}
	report, found := s.Report(backend)
	if !found {
		return Report{}
	}
	return report
}

func (s *State) tenants() []query.Tenant {
	document := s.Views.View().Document
	rows := make([]query.Tenant, 0, len(document.Tenants))
	for _, tenant := range document.Tenants {
		var use TenantUse
		if s.TenantUse != nil {
			use = s.TenantUse(tenant.Name)
		}
		rows = append(rows, query.Tenant{
			Tenant:               tenant.Name,
			TokensPerSecondLimit: tenant.Limits.TokensPerSecond,
			ConcurrentLimit:      tenant.Limits.ConcurrentRequests,
			Weight:               tenant.Limits.Weight,
			TokensPerSecond:      use.TokensPerSecond,
			Running:              use.Running,
			Waiting:              use.Waiting,
			Revision:             document.Revision,
		})
	}
	return rows
}

func leavingReason(current *view.View, backend scheduler.Backend) string {
	for _, drain := range current.Document.Drains {
		if drain.Backend == backend.ID {
			return "drained by an operator"
		}
	}
	if backend.Leaving {
		return "announced by the back end or the machine list"
	}
	return ""
}

func loadedModels(models []enginewire.LoadedModel) string {
	texts := make([]string, 0, len(models))
	for _, model := range models {
		texts = append(texts, fmt.Sprintf("%s@%s", model.Model, model.Version))
	}
	return strings.Join(texts, ", ")
}
