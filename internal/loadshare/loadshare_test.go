package loadshare

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/freeport/freeporttest"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// daemon is the pool and memory of a running Sharer.
type daemon struct {
	pool   *backendpool.Pool
	memory *promptcache.Index
	cancel context.CancelFunc
}

func startDaemon(t *testing.T, address string, others ...string) *daemon {
	t.Helper()
	made := &daemon{pool: backendpool.New("a"), memory: promptcache.New()}
	made.pool.Update([]backendpool.Backend{
		{ID: "one", Service: "s", Weights: map[identity.ModelName]uint64{"m": 1}},
		{ID: "two", Service: "s", Weights: map[identity.ModelName]uint64{"m": 1}},
	})
	link := peerlink.New(address, logging.Discard())
	sharer := New(Options{Link: link, Others: func() []string { return others }, Pool: made.pool, Memory: made.memory})
	ctx, cancel := context.WithCancel(context.Background())
	made.cancel = cancel
	var running sync.WaitGroup
	running.Go(func() { _ = link.Run(ctx) })
	running.Go(func() { _ = sharer.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return made
}

var largeQuery = backendpool.Query{Service: "s", Model: "m", Home: 1, OwnTokens: 5000}

// TestLoadsAndFactsPropagate checks that a daemon avoids the back end that another has loaded, learns the
// locations of prompt parts, and drops the load once the other daemon has stopped.
func TestLoadsAndFactsPropagate(t *testing.T) {
	first, second := freeporttest.Address(t), freeporttest.Address(t)
	one := startDaemon(t, first, second)
	two := startDaemon(t, second, first)
	now := time.Now()
	taken := one.pool.Pick(now, largeQuery)
	key := promptcache.KeyOf("v1", "part")
	one.memory.RecordDispatch(now, promptcache.Fact{Part: key, Backend: taken.Key}, 1, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ticket := two.pool.Pick(time.Now(), largeQuery)
		defer ticket.Release(time.Now(), backendpool.ResultServed)
		if ticket.Backend.ID != taken.Backend.ID && len(two.memory.Holders(time.Now(), key).Reading) == 1 {
			return poll.Success()
		}
		return poll.Continue("the load has not arrived")
	})
	one.cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ticket := two.pool.Pick(time.Now(), largeQuery)
		defer ticket.Release(time.Now(), backendpool.ResultServed)
		if ticket.Backend.ID == taken.Backend.ID {
			return poll.Success()
		}
		return poll.Continue("the load has not expired")
	})
}

// TestReportsAreSummed checks that the last reports of all daemons are added up and that expired ones are removed.
func TestReportsAreSummed(t *testing.T) {
	others := make([]string, MaxLoadPeers)
	sharer := New(Options{Link: peerlink.New("127.0.0.1:1", logging.Discard()), Others: func() []string { return others }})
	now := time.Now()
	for _, name := range []string{"a", "b"} {
		sharer.reports[name] = loadReport{at: now, loads: []backendpool.Load{{Key: 1, InFlight: 3, Reading: 10}}}
	}
	sharer.reports["old"] = loadReport{at: now.Add(-2 * reportTTL), loads: []backendpool.Load{{Key: 1, InFlight: 99}}}
	assert.DeepEqual(t, sharer.sumReports(now), map[uint64]backendpool.Load{1: {Key: 1, InFlight: 6, Reading: 20}})
	assert.Equal(t, len(sharer.reports), 2)
}

// TestFailureReportsPropagate has one daemon find a different back end at an address. Other daemons must stop
// selecting the back end too.
func TestFailureReportsPropagate(t *testing.T) {
	first, second := freeporttest.Address(t), freeporttest.Address(t)
	one := startDaemon(t, first, second)
	two := startDaemon(t, second, first)
	taken := one.pool.Pick(time.Now(), largeQuery)
	taken.Release(time.Now(), backendpool.ResultReplaced)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for range 8 {
			ticket := two.pool.Pick(time.Now(), largeQuery)
			ticket.Release(time.Now(), backendpool.ResultAbandoned)
			if ticket.Backend.ID == taken.Backend.ID {
				return poll.Continue("the failure report has not arrived")
			}
		}
		return poll.Success()
	})
}

// TestLargePartsAreBroadcastInLargeFleet checks that every daemon of a large fleet learns the locations of large
// prompt parts while requests start at hundreds of back ends.
func TestLargePartsAreBroadcastInLargeFleet(t *testing.T) {
	const (
		others = 60
		parts  = 20
	)
	first, second := freeporttest.Address(t), freeporttest.Address(t)
	addresses := []string{second}
	for len(addresses) < others {
		addresses = append(addresses, freeporttest.Address(t))
	}
	one := startDaemon(t, first, addresses...)
	two := startDaemon(t, second, first)
	var backends []backendpool.Backend
	for index := range 250 {
		backends = append(backends, backendpool.Backend{ID: identity.BackendID(fmt.Sprint("b", index)), Service: "s"})
	}
	one.pool.Update(backends)
	for range 500 {
		one.pool.Pick(time.Now(), backendpool.Query{Service: "s"})
	}
	var keys []promptcache.Key
	for index := range parts {
		key := promptcache.KeyOf("v1", fmt.Sprint("part", index))
		one.memory.RecordRead(time.Now(), promptcache.Fact{Part: key, Backend: 7, Tokens: 4000})
		one.pool.Pick(time.Now(), backendpool.Query{Service: "s"}) // a load that changes
		keys = append(keys, key)
		time.Sleep(50 * time.Millisecond)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, key := range keys {
			if len(two.memory.Holders(time.Now(), key).Read) == 0 {
				return poll.Continue("the location of a part has not arrived")
			}
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second))
}
