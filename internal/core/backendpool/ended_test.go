package backendpool

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// incarnationsOf returns a list with one incarnation of back end b and another, draining back end.
func incarnationsOf(incarnation identity.Incarnation) []Backend {
	return []Backend{
		{ID: identity.NewBackendID("b", incarnation), Service: "s", Address: "10.0.0.1:80", Zone: "a", Weights: map[identity.ModelName]uint64{"m": 1}},
		{ID: "other", Service: "s", Address: "10.0.0.2:80", Zone: "a", Weights: map[identity.ModelName]uint64{"m": 1}, Draining: true},
	}
}

// TestNothingIsBelievedOfTheNextLife restarts a back end that has loaded weights, been ejected and has a request in
// flight. The next incarnation must start with the weights of its row, healthy and without load.
func TestNothingIsBelievedOfTheNextLife(t *testing.T) {
	pool := New("a")
	now := time.Now()
	pool.Update(incarnationsOf(1))
	first, second := identity.NewBackendID("b", 1), identity.NewBackendID("b", 2)
	pool.LearnVersion(first, "m", 5)
	ticket := pool.Pick(now, Query{Service: "s", Model: "m"})
	assert.Equal(t, ticket.Backend.ID, first)
	pool.RecordProbe(now, first, ConnectRefused)
	var ended []identity.BackendID
	pool.OnReachability(func(id identity.BackendID, reached bool) {
		assert.Assert(t, !reached)
		ended = append(ended, id)
	})
	change := pool.Update(incarnationsOf(2))
	assert.DeepEqual(t, change.Added, []identity.BackendID{second})
	assert.DeepEqual(t, change.Removed, []identity.BackendID{first})
	assert.DeepEqual(t, ended, []identity.BackendID{first})
	again := pool.Pick(now, Query{Service: "s", Model: "m"})
	assert.Equal(t, again.Backend.ID, second)
	assert.Equal(t, again.Version, uint64(1))
	assert.Equal(t, pool.InFlight(second), 1.0)
	pool.LearnVersion(first, "m", 9)
	ticket.LearnVersion("m", 9)
	ticket.Release(now, ResultConnectionLost)
	assert.Equal(t, pool.InFlight(second), 1.0)
	assert.Equal(t, pool.Holders(now, "m")[0].Version, uint64(1))
}

// TestEndedLifeGetsNothingUntilTheNextIsListed learns of a later incarnation before it is listed. The requests in
// flight must be notified and the connections to the address dropped, and updates that still list the ended
// incarnation must not bring it back.
func TestEndedLifeGetsNothingUntilTheNextIsListed(t *testing.T) {
	pool := New("a")
	now := time.Now()
	pool.Update(incarnationsOf(1))
	var dropped []string
	pool.OnEnded(func(address string) { dropped = append(dropped, address) })
	ticket := pool.Pick(now, Query{Service: "s"})
	lost := 0
	ticket.OnLost(func(bool) { lost++ })
	for range 2 {
		pool.Ended(identity.NewBackendID("b", 1))
	}
	assert.Equal(t, lost, 1)
	assert.DeepEqual(t, dropped, []string{"10.0.0.1:80"})
	assert.Assert(t, pool.Pick(now, Query{Service: "s"}) == nil)
	pool.Update(incarnationsOf(1))
	assert.Assert(t, pool.Pick(now, Query{Service: "s"}) == nil)
	assert.Assert(t, !pool.AnyOutdated(now, "m", 2), "an ended back end is waited for")
	pool.Update(incarnationsOf(2))
	assert.Equal(t, pool.Pick(now, Query{Service: "s"}).Backend.ID, identity.NewBackendID("b", 2))
}

// TestEndedWhileTheListIsUpdated reports ended back ends concurrently with updates of the list, for the race
// detector, and checks the addresses passed to the callback.
func TestEndedWhileTheListIsUpdated(t *testing.T) {
	const incarnations = 2000
	pool := New("a")
	notified := 0
	pool.OnEnded(func(address string) {
		assert.Check(t, address == "10.0.0.1:80")
		notified++
	})
	var list []Backend
	for incarnation := range identity.Incarnation(incarnations) {
		id := identity.NewBackendID("b", incarnation+1)
		list = append(list, Backend{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a"})
	}
	pool.Update(list)
	var updates sync.WaitGroup
	updates.Go(func() {
		for range 20 {
			pool.Update(list)
		}
	})
	for _, backend := range list {
		pool.Ended(backend.ID)
	}
	updates.Wait()
	assert.Equal(t, notified, incarnations)
	assert.Assert(t, pool.Pick(time.Now(), Query{Service: "s"}) == nil)
}
