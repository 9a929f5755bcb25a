package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/controller"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/registry"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/core/watch"
	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// Names and sizes of the made fleet.
const (
	serviceName      = identity.ServiceName("llm")
	modelsPerEngine  = 2
	totalBlocks      = 60_000
	runnersWord      = "runners"
	firstIncarnation = 1_764_662_400_000_000
)

// start is the time at which all measurements of pure packages begin.
var start = time.Unix(1_764_662_400, 0)

func modelName(index int) identity.ModelName {
	return identity.ModelName(fmt.Sprintf("model-%d", index))
}

func zoneName(index int) identity.Zone { return identity.Zone(fmt.Sprintf("zone-%d", index)) }

// fleet is a made set of engines.
type fleet struct {
	sizes    projection.Sizes
	machines platformwire.MachineList
	statuses []enginewire.Status
}

func newFleet(sizes projection.Sizes, engines int) *fleet {
	made := &fleet{sizes: sizes, machines: platformwire.MachineList{Version: 1}}
	for index := range engines {
		id := identity.BackendID(fmt.Sprintf("runner-%04d", index))
		made.machines.Machines = append(made.machines.Machines, platformwire.Machine{
			ID: id, Kind: identity.KindEngine, Service: serviceName, Zone: zoneName(index % sizes.Zones),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", index%sizes.Zones, index/250, index%250+1), State: platformwire.MachineLive,
		})
		made.statuses = append(made.statuses, made.status(id, index))
	}
	return made
}

func (f *fleet) status(id identity.BackendID, index int) enginewire.Status {
	status := enginewire.Status{
		Backend: id, Kind: identity.KindEngine, Incarnation: firstIncarnation, State: enginewire.StateServing,
		StateVersion: firstIncarnation, Load: enginewire.Load{Running: 12, QueuedTokens: 900, TotalBlocks: totalBlocks, FreeBlocks: 100},
	}
	for offset := range modelsPerEngine {
		status.Models = append(status.Models, enginewire.LoadedModel{
			Model: modelName((index + offset) % f.sizes.Models), Version: "2026-11-30", Ready: true,
		})
	}
	return status
}

// registry makes the registry that has heard of all engines.
func (f *fleet) registry() *registry.Registry {
	known := registry.New(registry.DefaultOptions())
	known.ObserveMachines(start, f.machines)
	for _, status := range f.statuses {
		known.ObserveStatus(start, status)
	}
	return known
}

// backendKnowledge is what one daemon keeps of the back ends.
type backendKnowledge struct {
	registry  *registry.Registry
	scheduler *scheduler.Scheduler
	view      *view.View
}

func (f *fleet) knowledge() *backendKnowledge {
	known := &backendKnowledge{registry: f.registry(), scheduler: scheduler.New(scheduler.Options{Zone: zoneName(0)})}
	known.registry.Refresh(start)
	known.view = view.New(&dynamic.Document{}, nil)
	known.show()
	return known
}

// show passes the back ends on as the control loop does after a change.
func (k *backendKnowledge) show() {
	backends := k.registry.Backends(start)
	k.scheduler.SetBackends(start, backends)
	k.view = k.view.WithBackends(backends)
}

// measureBackends measures what the knowledge of back ends costs, but for polls.
func (m *measurement) measureBackends() {
	sizes := m.growing(m.sizes.Runners)
	slopes := &m.slopes.Backends
	slopes.MergeSeconds = m.watch.over(runnersWord, sizes, func(size int) func() {
		made := newFleet(m.sizes, size)
		known, next := made.knowledge(), 0
		return func() {
			status := made.statuses[next%size]
			next++
			known.registry.ObserveStatus(start, status)
			known.scheduler.ObserveLoad(start, status.Backend, status.Incarnation, status.Load)
			known.registry.Refresh(start)
		}
	})
	slopes.RefreshSeconds = m.watch.over(runnersWord, sizes, func(size int) func() {
		known := newFleet(m.sizes, size).knowledge()
		return func() { known.registry.Refresh(start) }
	})
	slopes.ChangeSeconds = m.watch.over(runnersWord, sizes, func(size int) func() {
		known := newFleet(m.sizes, size).knowledge()
		return known.show
	})
	slopes.MemoryBytes = heapOver(runnersWord, sizes, func(size int) *backendKnowledge {
		return newFleet(m.sizes, size).knowledge()
	})
	m.measureAssignment(sizes)
	m.measureMachineList(sizes)
}

func (m *measurement) measureAssignment(sizes []int) {
	var daemons []watch.Daemon
	for index := range m.sizes.Daemons {
		daemons = append(daemons, watch.Daemon{ID: daemonName(index), Zone: zoneName(index % m.sizes.Zones)})
	}
	m.slopes.Backends.AssignSeconds = m.watch.over(runnersWord, sizes, func(size int) func() {
		machines := newFleet(m.sizes, size).machines.Machines
		return func() {
			plan := watch.NewPlan(daemons)
			for _, machine := range machines {
				plan.Rank(daemons[0].ID, machine.ID, machine.Zone)
			}
		}
	})
}

// measureMachineList measures the decoding and merging of the list, and its size
// as the platform stand-in writes it.
func (m *measurement) measureMachineList(sizes []int) {
	bytes := projection.Slope{Unit: bytesUnit, Of: runnersWord}
	m.slopes.Backends.ListSeconds = m.watch.over(runnersWord, sizes, func(size int) func() {
		made := newFleet(m.sizes, size)
		known := made.registry()
		body, err := json.Marshal(made.machines)
		m.note(err)
		bytes.Points = append(bytes.Points, projection.Point{Size: float64(size), Value: float64(len(body))})
		return func() {
			var list platformwire.MachineList
			m.note(json.Unmarshal(body, &list))
			known.ObserveMachines(start, list)
		}
	})
	m.slopes.Backends.ListBytes = bytes
	knowledge := projection.Slope{Unit: bytesUnit, Of: runnersWord}
	for _, size := range sizes {
		body, err := msgpack.Marshal(newFleet(m.sizes, size).registry().Knowledge(start))
		m.note(err)
		knowledge.Points = append(knowledge.Points, projection.Point{Size: float64(size), Value: float64(len(body))})
	}
	m.slopes.Backends.KnowledgeBytes = knowledge
}

// measureController measures the plan of a fleet at rest.
func (m *measurement) measureController() {
	m.slopes.Controller.PlanSeconds = m.watch.over(runnersWord, m.growing(m.sizes.Runners), func(size int) func() {
		made := newFleet(m.sizes, size)
		document := &dynamic.Document{Services: []dynamic.Service{{Name: serviceName, Kind: identity.KindEngine, ConcurrentLoads: 3}}}
		for index := range m.sizes.Models {
			name := modelName(index)
			document.Models = append(document.Models, dynamic.Model{Name: name, Version: "2026-11-30"})
			document.Services[0].Models = append(document.Services[0].Models, name)
		}
		snapshot := controller.Snapshot{Document: document}
		known := made.registry()
		known.Refresh(start)
		for index, backend := range known.Backends(start) {
			snapshot.Backends = append(snapshot.Backends, controller.Backend{Backend: backend, Status: made.statuses[index], AskedAt: start})
		}
		snapshot.Demand = controller.SumDemand(snapshot.Backends)
		holder, now := controller.New(controller.DefaultSettings(), 1, start), start
		return func() {
			now = now.Add(time.Second)
			for index := range snapshot.Backends {
				snapshot.Backends[index].AskedAt = now
			}
			holder.Plan(now, snapshot)
		}
	})
}
