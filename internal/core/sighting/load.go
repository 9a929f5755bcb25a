package sighting

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// loadBytes estimates the encoded size of a load without its name.
const loadBytes = 26

// Load is how busy a watcher found a back end. On the wire it is an array.
type Load struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Backend      identity.BackendID
	Incarnation  identity.Incarnation
	Running      int
	Waiting      int
	QueuedTokens int
	FreeBlocks   int
	TotalBlocks  int
}

// Report gives the load as the back end reports it.
func (l Load) Report() enginewire.Load {
	return enginewire.Load{
		Running: l.Running, Waiting: l.Waiting, QueuedTokens: l.QueuedTokens,
		FreeBlocks: l.FreeBlocks, TotalBlocks: l.TotalBlocks,
	}
}

// ObserveLoad takes the load of a watched back end, to be told to others.
func (e *Exchange) ObserveLoad(status enginewire.Status) {
	e.loads[status.Backend] = Load{
		Backend: status.Backend, Incarnation: status.Incarnation,
		Running: status.Load.Running, Waiting: status.Load.Waiting, QueuedTokens: status.Load.QueuedTokens,
		FreeBlocks: status.Load.FreeBlocks, TotalBlocks: status.Load.TotalBlocks,
	}
}

// tickLoads tells loads to a few others, as often as the budget allows. They are
// not passed on: with few daemons everybody gets them, with many they are a sample
// beside what answers report.
func (e *Exchange) tickLoads(now time.Time) {
	if now.Before(e.nextLoads) || len(e.loads) == 0 {
		return
	}
	targets := e.pushTargets()
	loads, size := e.nextLoadBatch()
	for _, target := range targets {
		e.send(target.Address, Message{Kind: MessageDeltas, Loads: loads}, false)
	}
	cost := time.Duration(size*len(targets)) * time.Second / time.Duration(e.options.LoadBytes)
	e.nextLoads = now.Add(max(e.options.LoadInterval, cost))
}

// nextLoadBatch takes what fits into a datagram, in turns.
func (e *Exchange) nextLoadBatch() ([]Load, int) {
	order := slices.Sorted(maps.Keys(e.loads))
	start, _ := slices.BinarySearch(order, e.loadCursor)
	var batch []Load
	size := 0
	for offset := range order {
		id := order[(start+offset)%len(order)]
		if size += loadBytes + len(id); size > datagramBytes {
			e.loadCursor = id
			break
		}
		batch = append(batch, e.loads[id])
	}
	return batch, size
}

// mergeLoads passes on the loads of back ends that this daemon does not ask itself.
func (e *Exchange) mergeLoads(loads []Load) {
	for _, load := range loads {
		if _, own := e.loads[load.Backend]; !own {
			e.emit(LoadHeard{Load: load})
		}
	}
}
