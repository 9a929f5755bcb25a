package weightupdate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
)

// memoryTable is a table whose calls can fail.
type memoryTable struct {
	mutex   sync.Mutex
	rows    map[string]port.Row
	version uint64
	failing bool
}

func newTable() *memoryTable { return &memoryTable{rows: map[string]port.Row{}} }

func (m *memoryTable) Read(_ context.Context, keys ...string) ([]port.Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var rows []port.Row
	for _, key := range keys {
		if row, found := m.rows[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, m.failure()
}

func (m *memoryTable) failure() error {
	if m.failing {
		return &port.UnavailableError{Service: "table", Cause: errors.New("down")}
	}
	return nil
}

func (m *memoryTable) Scan(context.Context, string, string, int) ([]port.Row, error) {
	return nil, nil
}

func (m *memoryTable) Commit(_ context.Context, change port.Transaction) ([]port.Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.failure(); err != nil {
		return nil, err
	}
	for _, condition := range change.Conditions {
		if m.rows[condition.Key].Version != condition.Version {
			return nil, &port.ConflictError{Current: []port.Row{m.rows[condition.Key]}}
		}
	}
	m.version++
	var written []port.Row
	for _, write := range change.Writes {
		row := port.Row{Key: write.Key, Value: write.Value, Version: m.version}
		m.rows[write.Key] = row
		written = append(written, row)
	}
	return written, nil
}

// fakeEngine is a back end that loads weights.
type fakeEngine struct {
	sequence  uint64
	fence     identity.FencingToken
	version   uint64
	loading   uint64
	busyUntil time.Time
	history   []uint64
}

// fakeEngines carries out orders. With probability trouble a reply is lost, and half of these orders are also delayed.
type fakeEngines struct {
	mutex    sync.Mutex
	engines  map[identity.BackendID]*fakeEngine
	loadTime time.Duration
	trouble  float64
	mostBusy int
	holders  []identity.DaemonID
}

func newEngines(count int) *fakeEngines {
	made := &fakeEngines{engines: map[identity.BackendID]*fakeEngine{}, loadTime: 60 * time.Millisecond}
	for index := range count {
		made.engines[identity.BackendID(fmt.Sprintf("e%02d", index))] = &fakeEngine{version: 1}
	}
	return made
}

// settle completes loads whose time has passed. The caller holds the mutex.
func (f *fakeEngines) settle() {
	busy := 0
	for _, engine := range f.engines {
		if engine.loading > 0 && time.Now().After(engine.busyUntil) {
			engine.version = engine.loading
			engine.history = append(engine.history, engine.version)
			engine.loading = 0
		}
		if engine.loading > 0 {
			busy++
		}
	}
	f.mostBusy = max(f.mostBusy, busy)
}

func (f *fakeEngines) Report(_ context.Context, backend backendpool.Backend) (Report, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.settle()
	engine := f.engines[backend.ID]
	return Report{
		Busy: engine.loading > 0, Sequence: engine.sequence,
		Versions: map[identity.ModelName]uint64{"m": engine.version},
	}, nil
}

func (f *fakeEngines) SendOrder(_ context.Context, order Order) (Reply, error) {
	switch luck := rand.Float64(); {
	case luck < f.trouble/2:
		// The order is delayed and its reply is lost.
		time.AfterFunc(time.Duration(rand.IntN(900))*time.Millisecond, func() { f.carryOut(order) })
		return ReplyRefused, errors.New("no answer")
	case luck < f.trouble:
		f.carryOut(order)
		return ReplyRefused, errors.New("no answer")
	}
	return f.carryOut(order), nil
}

func (f *fakeEngines) carryOut(order Order) Reply {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.settle()
	engine := f.engines[order.Backend.ID]
	switch {
	case order.Token < engine.fence:
		return ReplyFenced
	case order.Expected != engine.sequence, engine.loading > 0:
		return ReplyConflict
	case engine.version == order.Version:
		return ReplyHolds
	}
	engine.fence = order.Token
	engine.sequence++
	engine.loading = order.Version
	engine.busyUntil = time.Now().Add(f.loadTime)
	f.holders = append(f.holders, order.Holder)
	f.settle()
	return ReplyTaken
}

func (f *fakeEngines) all(version uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.settle()
	for _, engine := range f.engines {
		if engine.version != version {
			return false
		}
	}
	return true
}

func (f *fakeEngines) pool() *backendpool.Pool {
	pool := backendpool.New("a")
	var list []backendpool.Backend
	for id, engine := range f.engines {
		list = append(list, backendpool.Backend{ID: id, Service: "s", Weights: map[identity.ModelName]uint64{"m": engine.version}})
	}
	pool.Update(list)
	return pool
}

// namedVersion is the newest named version of the model m.
type namedVersion struct{ version atomic.Uint64 }

func (n *namedVersion) Targets() map[identity.ModelName]uint64 {
	return map[identity.ModelName]uint64{"m": n.version.Load()}
}

// grantedLease is a lease that tests grant and revoke. Orders are permitted only once rest has passed since the first
// SetActing(true).
type grantedLease struct {
	token atomic.Uint64
	rest  time.Duration
	asked atomic.Pointer[time.Time]
}

func (l *grantedLease) Held() (identity.FencingToken, bool) {
	token := l.token.Load()
	return identity.FencingToken(token), token > 0
}

// Row implements Lease.
func (l *grantedLease) Row() port.Row { return port.Row{} }

// ObserveRow implements Lease.
func (l *grantedLease) ObserveRow(port.Row) {}

// SetActing implements Lease.
func (l *grantedLease) SetActing(acting bool) {
	now := time.Now()
	if acting {
		l.asked.CompareAndSwap(nil, &now)
	}
}

// MayAct implements Lease.
func (l *grantedLease) MayAct() (identity.FencingToken, bool) {
	token, held := l.Held()
	asked := l.asked.Load()
	return token, held && asked != nil && time.Since(*asked) >= l.rest
}

// TryAct implements Lease.
func (l *grantedLease) TryAct() (identity.FencingToken, bool) { return l.MayAct() }

// keep starts a Keeper that holds a lease with the given token.
func keep(t *testing.T, engines *fakeEngines, table port.TableService, named Named, holder string, token uint64) (*Keeper, *grantedLease) {
	t.Helper()
	lease := &grantedLease{}
	if token > 1 {
		lease.rest = 300 * time.Millisecond
	}
	lease.token.Store(token)
	keeper := New(Options{
		Holder: identity.DaemonID(holder), Lease: lease, Table: table, Pool: engines.pool(), Named: named,
		Orders: engines, Log: logging.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = keeper.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return keeper, lease
}

func allHold(engines *fakeEngines, version uint64) poll.Check {
	return func(poll.LogT) poll.Result {
		if engines.all(version) {
			return poll.Success()
		}
		return poll.Continue("not all hold version %d", version)
	}
}

// TestAllComeToTheNewestVersion checks that superseded versions are skipped, and that never more than a third of the
// back ends load at a time.
func TestAllComeToTheNewestVersion(t *testing.T) {
	engines, named := newEngines(9), &namedVersion{}
	named.version.Store(2)
	keep(t, engines, newTable(), named, "a", 1)
	time.Sleep(250 * time.Millisecond)
	named.version.Store(3)
	named.version.Store(4)
	poll.WaitOn(t, allHold(engines, 4), poll.WithTimeout(15*time.Second))
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	assert.Assert(t, engines.mostBusy <= 3, "loading at a time: %d", engines.mostBusy)
	for id, engine := range engines.engines {
		for _, version := range engine.history {
			assert.Assert(t, version != 3, "%s loaded a superseded version", id)
		}
	}
}

// TestLostAndLateOrdersNeverBringAnOldVersionBack guards against a delayed or repeated order that reloads an old
// version: replies are lost and orders delayed while new versions are named.
func TestLostAndLateOrdersNeverBringAnOldVersionBack(t *testing.T) {
	engines, named := newEngines(6), &namedVersion{}
	engines.trouble = 0.5
	named.version.Store(2)
	keep(t, engines, newTable(), named, "a", 1)
	for version := uint64(3); version <= 5; version++ {
		time.Sleep(300 * time.Millisecond)
		named.version.Store(version)
	}
	poll.WaitOn(t, allHold(engines, 5), poll.WithTimeout(30*time.Second))
	time.Sleep(time.Second) // late orders arrive
	assert.Assert(t, engines.all(5))
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	for id, engine := range engines.engines {
		for index := 1; index < len(engine.history); index++ {
			assert.Assert(t, engine.history[index] > engine.history[index-1], "%s went back: %v", id, engine.history)
		}
	}
}

// TestNoOrdersWithoutTheLease checks that no further orders are sent once the lease is lost.
func TestNoOrdersWithoutTheLease(t *testing.T) {
	engines, named := newEngines(6), &namedVersion{}
	engines.loadTime = 300 * time.Millisecond
	named.version.Store(2)
	_, lease := keep(t, engines, newTable(), named, "a", 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		engines.mutex.Lock()
		defer engines.mutex.Unlock()
		if len(engines.holders) > 0 {
			return poll.Success()
		}
		return poll.Continue("no order yet")
	})
	lease.token.Store(0)
	engines.mutex.Lock()
	given := len(engines.holders)
	engines.mutex.Unlock()
	time.Sleep(700 * time.Millisecond)
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	// Orders may have been in flight when the lease was lost.
	assert.Assert(t, len(engines.holders) <= given+2, "%d orders after the lease was lost", len(engines.holders)-given)
}

// TestNewHolderWaitsAfterAnother checks that a new holder sends no order before the lease permits it.
func TestNewHolderWaitsAfterAnother(t *testing.T) {
	engines, named := newEngines(3), &namedVersion{}
	named.version.Store(2)
	started := time.Now()
	keep(t, engines, newTable(), named, "b", 2)
	poll.WaitOn(t, allHold(engines, 2), poll.WithTimeout(10*time.Second))
	assert.Assert(t, time.Since(started) >= 300*time.Millisecond)
}

// TestTableDownStopsNoUpdate checks that updates continue while the plan's row cannot be written.
func TestTableDownStopsNoUpdate(t *testing.T) {
	engines, named, table := newEngines(3), &namedVersion{}, newTable()
	table.failing = true
	named.version.Store(2)
	keep(t, engines, table, named, "a", 1)
	poll.WaitOn(t, allHold(engines, 2), poll.WithTimeout(10*time.Second))
}

// plannedChanges makes a follower read the plan's row every few milliseconds.
type plannedChanges struct{}

func (plannedChanges) WaitPlan(ctx context.Context, after uint64, _ time.Duration) (uint64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Millisecond):
	}
	return after, nil
}

// beginByVersionTwo forbids requests to begin on versions older than 2.
func beginByVersionTwo(version uint64) time.Time {
	if version < 2 {
		return time.Unix(0, 0)
	}
	return time.Time{}
}

// TestFollowerHeedsThePlan checks that a follower avoids back ends that load and learns which versions were loaded.
func TestFollowerHeedsThePlan(t *testing.T) {
	engines, table := newEngines(2), newTable()
	pool := engines.pool()
	plan := Plan{Token: 1, Loading: []identity.BackendID{"e00"}, Loaded: []Loaded{{Backend: "e01", Model: "m", Version: 2}}}
	value, err := plan.Encode()
	assert.NilError(t, err)
	_, err = table.Commit(context.Background(), port.Transaction{Writes: []port.Write{{Key: KeyPlan, Value: value}}})
	assert.NilError(t, err)
	follower := &Follower{Table: table, Changes: plannedChanges{}, Pool: pool, Lease: &grantedLease{}, Log: logging.Discard(), Pending: func() bool { return true }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = follower.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ticket := pool.Pick(time.Now(), backendpool.Query{Service: "s", Model: "m", BeginBy: beginByVersionTwo})
		if ticket != nil && ticket.Backend.ID == "e01" {
			return poll.Success()
		}
		return poll.Continue("the plan is not applied")
	})
	for home := range uint64(10) {
		ticket := pool.Pick(time.Now(), backendpool.Query{Service: "s", Model: "m", Home: home + 1})
		assert.Equal(t, ticket.Backend.ID, identity.BackendID("e01"))
	}
}
