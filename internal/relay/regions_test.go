package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/roomshare"
)

// toldRooms tells rooms as a test says, and that loads have to be asked for.
type toldRooms struct {
	mutex sync.Mutex
	told  []roomshare.CapacityReport
	asked int
}

// tell changes what is told from now on.
func (f *toldRooms) tell(told ...roomshare.CapacityReport) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.told = told
}

// Rooms implements Rooms.
func (f *toldRooms) Rooms(context.Context, identity.ServiceName) []roomshare.CapacityReport {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.asked++
	return f.told
}

// knownLoads implements Loads: the pool knows.
type knownLoads struct{}

func (knownLoads) RefreshParts(context.Context, []promptcache.Key) {}

func (knownLoads) Needed() bool                      { return true }
func (knownLoads) Refresh(context.Context, []uint64) {}

// newRegions makes a world with a back end of four places in each of some regions; the daemon
// is in the first, "a".
func newRegions(route routing.Route, zones ...identity.Zone) (*world, *toldRooms) {
	world := newWorld(route, len(zones), 5)
	world.backends.streaming, world.backends.events = true, 3
	regions := map[identity.Zone]identity.Region{}
	for _, zone := range zones {
		regions[zone] = "region-" + identity.Region(zone)
	}
	world.pool.SetDistances(distance.NewMap(regions))
	list := backendList(len(zones))
	for index := range list {
		list[index].Zone, list[index].Slots = zones[index], 4
	}
	world.pool.Update(list)
	rooms := &toldRooms{}
	world.relay.options.Loads, world.relay.options.Rooms = knownLoads{}, rooms
	return world, rooms
}

// fillFirst takes all places of the first back ends.
func (w *world) fillFirst(count int) {
	loads := map[uint64]backendpool.Load{}
	for _, backend := range w.pool.Backends()[:count] {
		loads[rendezvous.Key(string(backend.ID))] = backendpool.Load{InFlight: 4}
	}
	w.pool.SetOthersLoad(loads, false)
}

func told(region identity.Region, free float64) roomshare.CapacityReport {
	return roomshare.CapacityReport{RegionCapacity: backendpool.RegionCapacity{Region: region, Backends: free, Slots: free}, At: time.Now(), DaemonsOutside: 1}
}

var streamingRoute = routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1, TargetLatency: 300 * time.Millisecond}

// sentTo is the back end that got the last request.
func (w *world) sentTo() identity.BackendID {
	return w.backends.dispatches[len(w.backends.dispatches)-1].Backend
}

// TestRequestStaysInItsRegion asks no other region as long as the own one has room, among 1, 2
// and 6 regions.
func TestRequestStaysInItsRegion(t *testing.T) {
	for _, zones := range [][]identity.Zone{{"a"}, {"a", "b"}, {"a", "b", "c", "d", "e", "f"}} {
		world, rooms := newRegions(streamingRoute, zones...)
		for range 20 {
			assert.Equal(t, world.ask(longPrompt).body.String(), eventsText(1, 3))
			assert.Equal(t, world.sentTo(), identity.BackendID("b0"))
		}
		assert.Equal(t, rooms.asked, 0)
	}
}

// TestRequestLeavesAFullRegionForRoom goes to the region that told room once its own is full.
func TestRequestLeavesAFullRegionForRoom(t *testing.T) {
	world, rooms := newRegions(streamingRoute, "a", "b", "c")
	world.fillFirst(1)
	rooms.told = []roomshare.CapacityReport{told("region-b", 0), told("region-c", 4)}
	assert.Equal(t, world.ask(longPrompt).body.String(), eventsText(1, 3))
	assert.Equal(t, world.sentTo(), identity.BackendID("b2"))
}

// TestRequestDoesNotLeaveWithoutRoom waits at home while no region tells room, or none does.
func TestRequestDoesNotLeaveWithoutRoom(t *testing.T) {
	for _, heard := range [][]roomshare.CapacityReport{nil, {told("region-b", 0)}} {
		world, rooms := newRegions(streamingRoute, "a", "b")
		world.fillFirst(1)
		rooms.told = heard
		caller := world.ask(longPrompt)
		assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
		assert.Equal(t, caller.refusal.Reason, reasonBusy)
	}
}

// TestDaemonSendsAwayItsPartOnly has five daemons' room told: one of them sends one request away.
func TestDaemonSendsAwayItsPartOnly(t *testing.T) {
	world, rooms := newRegions(streamingRoute, "a", "b")
	world.fillFirst(1)
	room := told("region-b", 5)
	room.DaemonsOutside = 5
	rooms.told = []roomshare.CapacityReport{room}
	served := 0
	for range 3 {
		if world.ask(longPrompt).refusal == nil {
			served++
		}
	}
	assert.Equal(t, served, 1)
}

// TestRequestThatCannotWaitInTimeGoesElsewhere refuses nothing for the queue at home while
// another region has room.
func TestRequestThatCannotWaitInTimeGoesElsewhere(t *testing.T) {
	world, rooms := newRegions(streamingRoute, "a", "b")
	world.fillFirst(1)
	waited := make(chan *recordingCaller)
	go func() { waited <- world.ask(longPrompt) }()
	time.Sleep(170 * time.Millisecond) // no place became free for that long
	rooms.tell(told("region-b", 4))
	assert.Equal(t, world.ask(longPrompt).body.String(), eventsText(1, 3))
	<-waited
}

// TestRequestGoesWhereItsPartsAre leaves a region with room for one that holds the prompt, and
// stays where the part is too short to be worth the way.
func TestRequestGoesWhereItsPartsAre(t *testing.T) {
	for tokens, expected := range map[int]identity.BackendID{9000: "b1", 300: "b0"} {
		world, rooms := newRegions(streamingRoute, "a", "b")
		rooms.told = []roomshare.CapacityReport{told("region-b", 4)}
		key := promptcache.KeyOf(cacheSalt(1, nil), "a")
		world.relay.options.Memory.Holds(time.Now(), promptcache.Fact{Part: key, Backend: rendezvous.Key("b1"), Tokens: tokens})
		caller := world.ask(func(request *Request) {
			request.Prompt = &Prompt{Model: "m", Parts: []Part{{ID: "a", Tokens: tokens}, {ID: "b", Tokens: 3000}}}
		})
		assert.Equal(t, caller.body.String(), eventsText(1, 3))
		assert.Equal(t, world.sentTo(), expected, "%d tokens", tokens)
	}
}

// TestDoubtedBackEndIsBetterThanNone sends to one that is taken out where no region has another.
func TestDoubtedBackEndIsBetterThanNone(t *testing.T) {
	world, _ := newRegions(streamingRoute, "a", "b")
	for range 2 {
		ticket := world.pool.Pick(time.Now(), backendpool.Query{Service: "s"})
		ticket.Release(time.Now(), backendpool.ResultUnreachable)
	}
	assert.Equal(t, world.ask(nil).body.String(), eventsText(1, 3))
}

// TestRequestWithoutBackEndAtHomeGoesWhereOneIs has no back end at home that may get requests. What
// other regions told is no reason to refuse: it may be old, or this daemon's part of it used up.
func TestRequestWithoutBackEndAtHomeGoesWhereOneIs(t *testing.T) {
	for _, route := range []routing.Route{streamingRoute, {Kind: routing.KindStreaming, MaxAttempts: 1}} {
		for _, free := range []float64{0, 1} {
			world, rooms := newRegions(route, "a", "b", "c")
			world.drainFirst()
			rooms.tell(told("region-b", free), told("region-c", free))
			for range 4 {
				assert.Equal(t, world.ask(nil).body.String(), eventsText(1, 3))
				assert.Assert(t, world.sentTo() != "b0")
			}
		}
	}
}

// TestRequestWithoutBackEndAtHomeWaitsWhereOneIs has no back end at home that may get requests, and
// full ones elsewhere: the request is refused as busy, whether room is told or not.
func TestRequestWithoutBackEndAtHomeWaitsWhereOneIs(t *testing.T) {
	for _, heard := range [][]roomshare.CapacityReport{nil, {told("region-b", 0)}} {
		world, rooms := newRegions(streamingRoute, "a", "b", "c")
		world.fillFirst(3)
		world.drainFirst()
		rooms.tell(heard...)
		caller := world.ask(longPrompt)
		assert.Equal(t, caller.refusal.Kind, RefusalNotRun)
		assert.Equal(t, caller.refusal.Reason, reasonBusy)
	}
}

// TestRoomElsewhereIsTriedFirstWithoutBackEndAtHome takes the region that told room before one that
// told none.
func TestRoomElsewhereIsTriedFirstWithoutBackEndAtHome(t *testing.T) {
	world, rooms := newRegions(streamingRoute, "a", "b", "c")
	world.drainFirst()
	rooms.tell(told("region-b", 0), told("region-c", 1))
	assert.Equal(t, world.ask(nil).body.String(), eventsText(1, 3))
	assert.Equal(t, world.sentTo(), identity.BackendID("b2"))
}

// drainFirst lets the first back end get no more requests.
func (w *world) drainFirst() {
	list := w.pool.Backends()
	list[0].Draining = true
	w.pool.Update(list)
}

// TestStoreIsUsedInItsRegion gives a back end in another region than the store's no store, unless
// a move from there is quicker than reading.
func TestStoreIsUsedInItsRegion(t *testing.T) {
	const tokenBytes = 100_000
	for _, example := range []struct {
		bitsPerSecond float64
		region        identity.Region
		used          bool
	}{
		{100e9, "region-a", true}, {100e9, "region-b", false}, {100e9, "", true}, {0, "region-b", false}, {1000e9, "region-b", true},
	} {
		world, _ := newRegions(streamingRoute, "a", "b")
		store := &routing.PromptStore{Address: "store:1", Zone: "a", LinkBitsPerSecond: example.bitsPerSecond}
		table := routing.Compile(&routing.Configuration{Services: []routing.Service{
			{Name: "s", Engine: &routing.Engine{TokenBytes: tokenBytes}}, {Name: "store", PromptStore: store},
		}})
		admitted := &admission{state: &State{Table: table}, match: routing.Match{Service: "s", Route: &routing.Route{}}}
		found := world.relay.storeNear(admitted, level{key: 1}, example.region)
		assert.Equal(t, found != nil, example.used, "%+v", example)
	}
}

// TestMovesCountByDistance charges a store's link ten times for a move to another region.
func TestMovesCountByDistance(t *testing.T) {
	distances := distance.NewMap(map[identity.Zone]identity.Region{"a": "r", "b": "r", "c": "other"})
	store := &routing.PromptStore{Zone: "a"}
	for zone, expected := range map[identity.Zone]int{"a": 10, "b": 20, "c": 100} {
		ticket := &backendpool.Ticket{Backend: backendpool.Backend{Zone: zone}}
		assert.Equal(t, linkTokens(distances, ticket, store, 10), expected)
	}
}
