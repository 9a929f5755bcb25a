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

// daemon is a sharer with its pool and memory.
type daemon struct {
	pool   *backendpool.Pool
	memory *promptcache.Memory
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

var heavy = backendpool.Query{Service: "s", Model: "m", Home: 1, OwnTokens: 5000}

// TestLoadsAndFactsReachOthers lets one daemon avoid what another has filled, learn
// where shared parts went, and forget the load once the other is gone.
func TestLoadsAndFactsReachOthers(t *testing.T) {
	first, second := freeporttest.Address(t), freeporttest.Address(t)
	one := startDaemon(t, first, second)
	two := startDaemon(t, second, first)
	now := time.Now()
	taken := one.pool.Pick(now, heavy)
	key := promptcache.KeyOf("v1", "part")
	one.memory.Sent(now, promptcache.Fact{Part: key, Backend: taken.Key}, 1, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ticket := two.pool.Pick(time.Now(), heavy)
		defer ticket.Release(time.Now(), backendpool.ResultServed)
		if ticket.Backend.ID != taken.Backend.ID && len(two.memory.Holders(time.Now(), key).Reading) == 1 {
			return poll.Success()
		}
		return poll.Continue("the load is not heard of")
	})
	one.cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ticket := two.pool.Pick(time.Now(), heavy)
		defer ticket.Release(time.Now(), backendpool.ResultServed)
		if ticket.Backend.ID == taken.Backend.ID {
			return poll.Success()
		}
		return poll.Continue("the load is not forgotten")
	})
}

// TestHeardLoadsAddUp adds up what daemons told last, and forgets those that fell silent.
func TestHeardLoadsAddUp(t *testing.T) {
	others := make([]string, MaxLoadPeers)
	sharer := New(Options{Link: peerlink.New("127.0.0.1:1", logging.Discard()), Others: func() []string { return others }})
	now := time.Now()
	for _, name := range []string{"a", "b"} {
		sharer.heard[name] = heardLoads{at: now, loads: []backendpool.Load{{Key: 1, InFlight: 3, Reading: 10}}}
	}
	sharer.heard["old"] = heardLoads{at: now.Add(-2 * forgetAfter), loads: []backendpool.Load{{Key: 1, InFlight: 99}}}
	assert.DeepEqual(t, sharer.merge(now), map[uint64]backendpool.Load{1: {Key: 1, InFlight: 6, Reading: 20}})
	assert.Equal(t, len(sharer.heard), 2)
}

// TestDoubtsReachOthers takes a back end out everywhere once one daemon finds another
// at its address.
func TestDoubtsReachOthers(t *testing.T) {
	first, second := freeporttest.Address(t), freeporttest.Address(t)
	one := startDaemon(t, first, second)
	two := startDaemon(t, second, first)
	taken := one.pool.Pick(time.Now(), heavy)
	taken.Release(time.Now(), backendpool.ResultReplaced)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for range 8 {
			ticket := two.pool.Pick(time.Now(), heavy)
			ticket.Release(time.Now(), backendpool.ResultAbandoned)
			if ticket.Backend.ID == taken.Backend.ID {
				return poll.Continue("the doubt is not heard of")
			}
		}
		return poll.Success()
	})
}

// TestLargePartsReachAllOfManyDaemons tells each of many daemons where large parts are,
// though requests begin at hundreds of back ends beside it.
func TestLargePartsReachAllOfManyDaemons(t *testing.T) {
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
		one.memory.HasRead(time.Now(), promptcache.Fact{Part: key, Backend: 7, Tokens: 4000})
		one.pool.Pick(time.Now(), backendpool.Query{Service: "s"}) // a load that changes
		keys = append(keys, key)
		time.Sleep(50 * time.Millisecond)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, key := range keys {
			if len(two.memory.Holders(time.Now(), key).Read) == 0 {
				return poll.Continue("a part is not heard of")
			}
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second))
}
