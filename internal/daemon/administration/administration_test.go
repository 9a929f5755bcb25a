package administration_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/daemon/administration"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// fixedView implements port.Views.
type fixedView struct{ current *view.View }

func (f fixedView) View() *view.View { return f.current }

func TestStateShowsTheViewWithReportsAndUse(t *testing.T) {
	heardAt := time.Date(2026, 5, 1, 17, 0, 0, 0, time.UTC)
	document := &dynamic.Document{
		Revision: 4,
		Tenants:  []dynamic.Tenant{{Name: "t", Limits: dynamic.TenantLimits{ConcurrentRequests: 3}}},
		Drains:   []dynamic.Drain{{Backend: "e1"}},
	}
	state := &administration.State{
		Views: fixedView{view.New(document, []scheduler.Backend{
			{ID: "e1", Kind: identity.KindEngine, Leaving: true, Models: []enginewire.LoadedModel{{Model: "m", Version: "v"}}},
			{ID: "a1", Kind: identity.KindApp},
		})},
		Report: func(backend identity.BackendID) (administration.Report, bool) {
			status := enginewire.Status{Role: "prefill", Load: enginewire.Load{Waiting: 2, TotalBlocks: 9}}
			return administration.Report{Status: status, Observed: heardAt, Assigned: 5}, backend == "e1"
		},
		TenantUse: func(identity.TenantName) administration.TenantUse { return administration.TenantUse{Running: 1} },
	}
	want := map[query.Source]query.Table{
		query.SourceEngines: query.TableOf([]query.Engine{{Engine: "e1", Models: "m@v", Role: "prefill", Leaving: true, Waiting: 2, Assigned: 5, TotalBlocks: 9, Observed: heardAt}}),
		query.SourceBackends: query.TableOf([]query.Backend{
			{Backend: "e1", Kind: identity.KindEngine, Leaving: true, Reason: "drained by an operator", Running: 5, Observed: heardAt},
			{Backend: "a1", Kind: identity.KindApp},
		}),
		query.SourceTenants:         query.TableOf([]query.Tenant{{Tenant: "t", ConcurrentLimit: 3, Running: 1, Revision: 4}}),
		query.SourceHotPrefixes:     query.TableOf[query.HotPrefix](nil),
		query.SourceWaitingRequests: query.TableOf[query.WaitingRequest](nil),
		query.SourceDaemons:         query.TableOf[query.Daemon](nil),
	}
	for source, expected := range want {
		got, err := state.Table(context.Background(), source)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, expected)
		assert.NilError(t, got.Verify(source))
	}
}

// scriptedCaller answers by address.
type scriptedCaller map[string]query.Table

func (s scriptedCaller) Call(_ context.Context, address, _ string, _, response any) error {
	table, found := s[address]
	if !found {
		return errors.New("unreachable")
	}
	response.(*administration.TableResponse).Table = table
	return nil
}

func TestPeersThatAreDeadUnreachableOrOfAnotherVersionAreMissing(t *testing.T) {
	answer := query.TableOf([]query.Model{{Model: "m"}})
	peers := &administration.Peers{
		Others: func() []administration.Member {
			return []administration.Member{{ID: "good", Address: "1"}, {ID: "dead", Address: "1", Dead: true}, {ID: "silent", Address: "2"}, {ID: "old", Address: "3"}}
		},
		Caller: scriptedCaller{"1": answer, "3": query.TableOf([]query.Event{{Event: "other columns"}})},
	}
	got := peers.Tables(context.Background(), query.SourceModels)
	assert.DeepEqual(t, got.Tables, []query.Table{answer})
	missing := map[identity.DaemonID]bool{}
	for _, daemon := range got.Missing {
		missing[daemon] = true
	}
	assert.DeepEqual(t, missing, map[identity.DaemonID]bool{"dead": true, "silent": true, "old": true})
}
