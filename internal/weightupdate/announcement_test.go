package weightupdate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
)

// TestAnnouncementsSpareTheTable checks that announcements are applied without reading the plan's row, and that
// announcements with an older fencing token are ignored.
func TestAnnouncementsSpareTheTable(t *testing.T) {
	engines, table := newEngines(3), newTable()
	table.failing = true
	pool := engines.pool()
	follower := &Follower{Table: table, Changes: plannedChanges{}, Pool: pool, Lease: &grantedLease{}, Log: logging.Discard()}
	follower.HandleAnnouncement(Announcement{
		Token: 5, Loading: backendKeys([]identity.BackendID{"e00"}),
		Loaded: []LoadedGroup{{Model: "m", Version: 2, Backends: backendKeys([]identity.BackendID{"e01"})}},
	})
	follower.HandleAnnouncement(Announcement{Token: 4, Loading: backendKeys([]identity.BackendID{"e01", "e02"})})
	assert.Assert(t, follower.ReceivesAnnouncements())
	for home := range uint64(10) {
		ticket := pool.Pick(time.Now(), backendpool.Query{Service: "s", Model: "m", Home: home + 1, BeginBy: beginByVersionTwo})
		assert.Equal(t, ticket.Backend.ID, identity.BackendID("e01"))
	}
}

// TestHolderAnnouncesEachLoad checks that announcements alone report every back end that loads or has loaded, while the
// plan's row is written rarely.
func TestHolderAnnouncesEachLoad(t *testing.T) {
	engines, table := newEngines(6), newTable()
	loading, loaded := map[uint64]bool{}, map[uint64]bool{}
	var mutex sync.Mutex
	announced := 0
	lease, named := &grantedLease{}, &namedVersion{}
	lease.token.Store(1)
	named.version.Store(2)
	keeper := New(Options{
		Holder: "h", Lease: lease, Table: table, Pool: engines.pool(), Named: named, Orders: engines, Log: logging.Discard(),
		Announce: func(announcement Announcement) {
			mutex.Lock()
			defer mutex.Unlock()
			announced++
			for _, key := range announcement.Loading {
				loading[key] = true
			}
			for _, group := range announcement.Loaded {
				for _, key := range group.Backends {
					loaded[key] = true
				}
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = keeper.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		mutex.Lock()
		defer mutex.Unlock()
		if len(loaded) == 6 && len(loading) > 0 {
			return poll.Success()
		}
		return poll.Continue("%d loads were announced", len(loaded))
	})
	table.mutex.Lock()
	defer table.mutex.Unlock()
	assert.Assert(t, table.version <= 4, "the row was written %d times, announced %d times", table.version, announced)
}

// TestStarterIsToldOfRecentLoads guards against a starting daemon that misses a load because its copied back-end list
// predates it. With more loads than fit into one datagram, every load must be announced both before and after the
// start, and none for longer than AnnounceDuration.
func TestStarterIsToldOfRecentLoads(t *testing.T) {
	const loads = 3 * maxAnnouncedLoads
	made := announcer{announce: func(Announcement) {}}
	began := time.Now()
	for number := range loads {
		made.recordLoad(began, Loaded{Backend: identity.NewBackendID(identity.BackendName(fmt.Sprint("e", number)), 7), Model: "m", Version: 2})
	}
	startedAt := began.Add(AnnounceDuration / 2)
	before, after := map[uint64]bool{}, map[uint64]bool{}
	for now := began; now.Sub(began) <= AnnounceDuration; now = now.Add(announceInterval) {
		announced, due := made.due(now, &Plan{Token: 1}, port.Row{})
		assert.Assert(t, due)
		encoded, err := codec.Marshal(&announced)
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) < 4<<10, "%d bytes", len(encoded))
		heard := before
		if now.After(startedAt) {
			heard = after
		}
		for _, key := range announced.Loaded[0].Backends {
			heard[key] = true
		}
	}
	assert.Equal(t, len(before), 2*loads)
	assert.Equal(t, len(after), 2*loads)
	_, due := made.due(began.Add(AnnounceDuration+announceInterval), &Plan{Token: 1}, port.Row{})
	assert.Assert(t, !due, "loads are announced for longer than AnnounceDuration")
}
