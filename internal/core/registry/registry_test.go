package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

const backendID = identity.BackendID("engine-1")

// truth is the oracle: what really is so of the one back end, and the reports
// of earlier moments that may still be on their way.
type truth struct {
	incarnation  identity.Incarnation
	stateVersion uint64
	leaving      bool
	reports      []enginewire.Status
	lists        []platformwire.MachineList
}

func (o *truth) status() enginewire.Status {
	state := enginewire.StateServing
	if o.leaving {
		state = enginewire.StateLeaving
	}
	return enginewire.Status{Backend: backendID, Incarnation: o.incarnation, State: state, StateVersion: o.stateVersion}
}

func (o *truth) list() platformwire.MachineList {
	state := platformwire.MachineLive
	if o.leaving {
		state = platformwire.MachineLeaving
	}
	machine := platformwire.Machine{ID: backendID, Kind: identity.KindEngine, State: state}
	return platformwire.MachineList{Machines: []platformwire.Machine{machine}}
}

// Once any source has told of a leave, no older report of any source, late or
// repeated, makes the back end eligible again; a new incarnation does.
func TestLeaveIsNeverUndoneByOlderReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		known := New(Options{UnreachableAfter: time.Hour, ForgetLeaveAfter: time.Hour})
		oracle := &truth{incarnation: 1, stateVersion: 1}
		toldLeaving := false
		deliver := func(status enginewire.Status) {
			known.ObserveStatus(now, status)
			if status.StateVersion == oracle.stateVersion && status.State == enginewire.StateLeaving {
				toldLeaving = true
			}
		}
		known.ObserveMachines(now, oracle.list())
		deliver(oracle.status())

		t.Repeat(map[string]func(*rapid.T){
			"send reports": func(*rapid.T) {
				oracle.reports = append(oracle.reports, oracle.status())
				oracle.lists = append(oracle.lists, oracle.list())
			},
			"leave": func(*rapid.T) {
				if !oracle.leaving {
					oracle.stateVersion++
				}
				oracle.leaving = true
			},
			"return": func(*rapid.T) {
				if !oracle.leaving {
					return
				}
				oracle.stateVersion++
				oracle.leaving = false
				toldLeaving = false
				deliver(oracle.status())
				oracle.lists = nil
			},
			"restart": func(*rapid.T) {
				oracle.stateVersion++
				oracle.incarnation = identity.Incarnation(oracle.stateVersion)
				oracle.leaving = false
				toldLeaving = false
				deliver(oracle.status())
				// The machine list lags but does not go back past a restart or return.
				oracle.lists = nil
			},
			"deliver a status late or again": func(t *rapid.T) {
				if len(oracle.reports) == 0 {
					t.Skip("nothing on its way")
				}
				deliver(rapid.SampledFrom(oracle.reports).Draw(t, "report"))
			},
			"deliver a machine list late or again": func(t *rapid.T) {
				if len(oracle.lists) == 0 {
					t.Skip("nothing on its way")
				}
				list := rapid.SampledFrom(oracle.lists).Draw(t, "list")
				known.ObserveMachines(now, list)
				if list.Machines[0].State == platformwire.MachineLeaving {
					toldLeaving = true
				}
			},
			"another daemon tells": func(*rapid.T) {
				if oracle.leaving {
					known.ObserveLeaving(now, backendID, oracle.stateVersion)
					toldLeaving = true
				}
			},
			"time passes": func(*rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				backends := known.Backends(now)
				assert.Equal(t, len(backends), 1)
				assert.Equal(t, backends[0].Leaving, toldLeaving)
				assert.Equal(t, backends[0].Incarnation, oracle.incarnation)
			},
		})
	})
}

// A drain holds while the document has it; then the back end's own newer word counts.
func TestDrainEndsWithTheDocument(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	known := New(DefaultOptions())
	oracle := &truth{incarnation: 1, stateVersion: 1}
	known.ObserveMachines(now, oracle.list())
	known.ObserveStatus(now, oracle.status())

	known.ObserveDocument(&dynamic.Document{Drains: []dynamic.Drain{{Backend: backendID, Since: now}}})
	assert.Assert(t, known.Backends(now)[0].Leaving)
	oracle.leaving, oracle.stateVersion = true, 2
	known.ObserveStatus(now, oracle.status())

	known.ObserveDocument(&dynamic.Document{})
	assert.Assert(t, known.Backends(now)[0].Leaving, "it still says so itself")
	oracle.leaving, oracle.stateVersion = false, 3
	known.ObserveStatus(now, oracle.status())
	assert.Assert(t, !known.Backends(now)[0].Leaving)
}
