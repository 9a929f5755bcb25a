package weightupdate

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// measuredPace returns the pace of an update of back ends to version 2.
func measuredPace(keeper *Keeper, now time.Time, holders []backendpool.Holder) pace {
	healthy := healthyHolders(slices.Clone(holders))
	return keeper.pace(now, "m", healthy, outdatedHolders(healthy, 2))
}

// TestHasteGrowsAsTimeRunsOut checks that few back ends load at a time while the deadline is far, as many as the
// deadline requires when it is near, and never more than a quarter. Back ends past the deadline are all unavailable.
func TestHasteGrowsAsTimeRunsOut(t *testing.T) {
	now := time.Now()
	var holders []backendpool.Holder
	for range 20 {
		holders = append(holders, backendpool.Holder{Version: 1})
	}
	left := time.Duration(0)
	keeper := New(Options{DueBy: func(identity.ModelName, uint64) time.Time { return now.Add(left) }})
	measured := func() pace { return measuredPace(keeper, now, holders) }
	keeper.loadTime = time.Second
	left = time.Minute
	assert.Equal(t, measured(), pace{loading: 3, unavailable: 7})
	left = 4 * time.Second
	assert.Equal(t, measured(), pace{loading: 5, unavailable: 7}) // 20 loads in 3.6 s take six
	left = time.Second
	assert.Equal(t, measured(), pace{loading: 5, unavailable: 7})
	left = -time.Second
	assert.Equal(t, measured(), pace{loading: 5, unavailable: 20})
	for index := range holders {
		holders[index].Version = 2
	}
	assert.Equal(t, measured(), pace{loading: 3, unavailable: 7})
}

// TestPaceIsOfSoundBackEnds checks that fewer back ends are unavailable at a time if others are ejected, or if many
// prompt tokens wait to be processed.
func TestPaceIsOfSoundBackEnds(t *testing.T) {
	now := time.Now()
	var holders []backendpool.Holder
	for range 12 {
		holders = append(holders, backendpool.Holder{Version: 1})
	}
	keeper := New(Options{})
	measured := func() pace { return measuredPace(keeper, now, holders) }
	assert.Equal(t, measured(), pace{loading: 2, unavailable: 4})
	for index := range 6 {
		holders[index].Ejected = true
	}
	assert.Equal(t, measured(), pace{loading: 1, unavailable: 2})
	for index := range holders {
		holders[index].Reading = 2 * lowReadingTokens
	}
	assert.Equal(t, measured(), pace{loading: 1, unavailable: 1})
}

// silent lets report calls to some back ends time out.
type silent struct {
	*fakeEngines
	dark map[identity.BackendID]bool
}

// Report implements Orders.
func (s silent) Report(ctx context.Context, backend backendpool.Backend) (Report, error) {
	if s.dark[backend.ID] {
		<-ctx.Done()
		return Report{}, ctx.Err()
	}
	return s.fakeEngines.Report(ctx, backend)
}

// TestSilentBackEndsKeepNobodyWaiting guards against unresponsive back ends that block the update of the others. They
// have no requests in flight, look idle and therefore come first.
func TestSilentBackEndsKeepNobodyWaiting(t *testing.T) {
	engines, table := newEngines(8), newTable()
	dark := map[identity.BackendID]bool{"e00": true, "e01": true}
	named := &namedVersion{}
	named.version.Store(2)
	lease := &grantedLease{}
	lease.token.Store(1)
	pool := engines.pool()
	keeper := New(Options{
		Holder: "h", Lease: lease, Table: table, Pool: pool, Named: named, Orders: silent{engines, dark}, Log: logging.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = keeper.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		loaded := 0
		for _, holder := range pool.Holders(time.Now(), "m") {
			if holder.Version == 2 {
				loaded++
			}
		}
		if loaded == len(engines.engines)-len(dark) {
			return poll.Success()
		}
		return poll.Continue("%d back ends were updated to version 2", loaded)
	}, poll.WithTimeout(updateTimeout/2))
}

// TestReplacedBackEndsKeepNobodyWaiting guards against stale rows that block the update: more rows than may load at a
// time belong to back ends whose address another one has taken over.
func TestReplacedBackEndsKeepNobodyWaiting(t *testing.T) {
	engines, table := newEngines(6), newTable()
	named := &namedVersion{}
	named.version.Store(2)
	var gone []backendpool.Backend
	for index := range 12 {
		gone = append(gone, backendpool.Backend{
			ID: identity.BackendID(fmt.Sprintf("a%02d", index)), Address: fmt.Sprintf("10.0.0.%d:80", index),
			Service: "s", Weights: map[identity.ModelName]uint64{"m": 1},
		})
	}
	pool := engines.pool()
	pool.Update(append(pool.Backends(), gone...))
	lease := &grantedLease{}
	lease.token.Store(1)
	keeper := New(Options{
		Holder: "h", Lease: lease, Table: table, Pool: pool, Named: named, Orders: replacing{engines}, Log: logging.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = keeper.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		loaded := 0
		for _, holder := range pool.Holders(time.Now(), "m") {
			if holder.Backend.ID[0] == 'e' && holder.Version == 2 {
				loaded++
			}
		}
		if loaded == 6 {
			return poll.Success()
		}
		return poll.Continue("%d back ends were updated to version 2", loaded)
	}, poll.WithTimeout(suspendDuration))
}

// replacing answers calls to back ends that no longer exist as the back end that took over their address.
type replacing struct{ *fakeEngines }

func (r replacing) exists(backend backendpool.Backend) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.engines[backend.ID] != nil
}

// Report implements Orders.
func (r replacing) Report(ctx context.Context, backend backendpool.Backend) (Report, error) {
	if !r.exists(backend) {
		return Report{Versions: map[identity.ModelName]uint64{"m": 1}}, nil
	}
	return r.fakeEngines.Report(ctx, backend)
}

// SendOrder implements Orders.
func (r replacing) SendOrder(ctx context.Context, order Order) (Reply, error) {
	if !r.exists(order.Backend) {
		time.Sleep(50 * time.Millisecond)
		return ReplyReplaced, nil
	}
	return r.fakeEngines.SendOrder(ctx, order)
}
