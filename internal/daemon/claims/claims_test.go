package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// ledger counts, for each key, the grants that can lead to a run.
type ledger struct {
	mutex  sync.Mutex
	grants map[string]int
	most   int
}

func (l *ledger) change(key string, by int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.grants == nil {
		l.grants = map[string]int{}
	}
	l.grants[key] += by
	l.most = max(l.most, l.grants[key])
}

// Daemons claim the same keys at once, over votes and over the table, while
// messages and answers of the table get lost and daemons restart.
func TestOneGrantUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			table := newTable()
			table.setFault(randomFaults(rand.New(rand.NewPCG(seed, 2)), 40))
			w := newWorld(4, table)
			defer w.stopAll()
			w.disturb(seed)
			w.startAll()
			book := &ledger{}
			var claiming sync.WaitGroup
			for step := range 60 {
				if step%20 == 19 {
					w.start(random.IntN(4))
				}
				key := keyOf(fmt.Sprint(step/2), step%4 < 2)
				for range 3 {
					state := []identity.RunState{identity.RunStateRan, identity.RunStateNotRun, identity.RunStateUnknown}[random.IntN(3)]
					index := random.IntN(4)
					claiming.Go(func() { w.claimAndSettle(book, index, key, state) })
				}
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			}
			claiming.Wait()
			assert.Equal(t, book.most, 1, "seed %d", seed)
			t.Logf("seed %d: %d of 30 keys granted", seed, len(book.grants))
			assert.Assert(t, len(book.grants) > 15)
		})
	}
}

// disturb makes the network slow and lossy.
func (w *world) disturb(seed uint64) {
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(seed, 3))
	draw := func(below int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(below)
	}
	w.delay = func() time.Duration { return time.Duration(draw(30)) * time.Millisecond }
	w.lose = func() bool { return draw(10) == 0 }
}

func (w *world) claimAndSettle(book *ledger, index int, key port.ClaimKey, state identity.RunState) {
	w.mutex.Lock()
	runner := w.runners[w.roster.Daemons[index].Address]
	w.mutex.Unlock()
	if runner.Claim(context.Background(), key) != port.ClaimGranted {
		return
	}
	book.change(key.Key, 1)
	time.Sleep(50 * time.Millisecond)
	if state == identity.RunStateNotRun {
		book.change(key.Key, -1)
	}
	runner.Settle(key, state)
}

// The table decides only on keys of unknown birth. New keys with a birth are
// claimed without it, and their outcomes reach it once it is back.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.setFault(func() tableFault { return faultDown })
		w := newWorld(3, table)
		defer w.stopAll()
		runners := w.startAll()
		ctx := context.Background()
		dated, undated := keyOf("dated", true), keyOf("undated", false)
		before := time.Now()
		assert.Equal(t, runners[0].Claim(ctx, dated), port.ClaimGranted)
		assert.Equal(t, time.Since(before), 2*time.Millisecond) // one round trip
		assert.Equal(t, runners[1].Claim(ctx, dated), port.ClaimRunning)
		runners[0].Settle(dated, identity.RunStateRan)
		time.Sleep(time.Second)
		assert.Equal(t, runners[2].Claim(ctx, dated), port.ClaimRan)
		assert.Equal(t, runners[0].Claim(ctx, undated), port.ClaimInDoubt)

		table.setFault(func() tableFault { return faultNone })
		time.Sleep(3 * time.Second)
		assert.Equal(t, runners[0].Claim(ctx, undated), port.ClaimGranted)
		assert.Equal(t, runners[1].Claim(ctx, undated), port.ClaimRunning)
		runners[0].Settle(undated, identity.RunStateNotRun)
		time.Sleep(time.Second)
		assert.Equal(t, runners[1].Claim(ctx, undated), port.ClaimGranted)

		for index := range runners {
			runners[index] = w.start(index)
		}
		time.Sleep(time.Second)
		assert.Equal(t, runners[0].Claim(ctx, dated), port.ClaimRan) // from the table
		assert.Equal(t, runners[0].Claim(ctx, keyOf("new", true)), port.ClaimGranted)
	})
}

// A write that frees a row takes effect once more, after another claim took the
// row.
func TestLateWriteFreesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		w := newWorld(3, table)
		defer w.stopAll()
		runners := w.startAll()
		ctx, key := context.Background(), keyOf("undated", false)
		assert.Equal(t, runners[0].Claim(ctx, key), port.ClaimGranted)
		faults := []tableFault{faultLateEffect}
		table.setFault(func() tableFault {
			if len(faults) == 0 {
				return faultNone
			}
			next := faults[0]
			faults = faults[1:]
			return next
		})
		runners[0].Settle(key, identity.RunStateNotRun)
		time.Sleep(time.Second)
		assert.Equal(t, runners[1].Claim(ctx, key), port.ClaimGranted)
		time.Sleep(2 * time.Second)
		assert.Equal(t, runners[2].Claim(ctx, key), port.ClaimRunning)
	})
}

// A planned stop leaves no row behind that says running for ever, also when the
// table does not take the first write of the end.
func TestDrainWritesEndsOfClaimsInTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		w := newWorld(3, table)
		defer w.stopAll()
		runners := w.startAll()
		ctx, key := context.Background(), keyOf("undated", false)
		assert.Equal(t, runners[0].Claim(ctx, key), port.ClaimGranted)
		table.setFault(func() tableFault { return faultDown })
		runners[0].Settle(key, identity.RunStateRan)
		time.AfterFunc(2*time.Second, func() { table.setFault(func() tableFault { return faultNone }) })
		draining, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		assert.NilError(t, runners[0].Drain(draining))
		w.stop(0)
		time.Sleep(3 * time.Second)
		assert.Equal(t, runners[1].Claim(ctx, key), port.ClaimRan)
	})
}

// A drain ends with its context when the table stays down.
func TestDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		w := newWorld(3, table)
		defer w.stopAll()
		runners := w.startAll()
		ctx, key := context.Background(), keyOf("undated", false)
		assert.Equal(t, runners[0].Claim(ctx, key), port.ClaimGranted)
		table.setFault(func() tableFault { return faultDown })
		runners[0].Settle(key, identity.RunStateRan)
		draining, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		assert.ErrorIs(t, runners[0].Drain(draining), context.DeadlineExceeded)
	})
}

// A new roster takes over what the old one knew, while claims go on.
func TestRosterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4, newTable())
		defer w.stopAll()
		all := w.roster.Daemons
		first, second := w.roster, dynamic.Roster{Epoch: 2, Daemons: all[1:]}
		first.Daemons = all[:3]
		w.roster = first
		runners := w.startAll()
		w.roster.Daemons = all
		runners = append(runners, w.start(3))
		ctx, ran, running := context.Background(), keyOf("ran", true), keyOf("running", true)
		assert.Equal(t, runners[0].Claim(ctx, ran), port.ClaimGranted)
		runners[0].Settle(ran, identity.RunStateRan)
		assert.Equal(t, runners[0].Claim(ctx, running), port.ClaimGranted)
		time.Sleep(time.Second)

		for _, runner := range runners {
			assert.NilError(t, runner.SetRosters(ctx, []dynamic.Roster{first, second}))
		}
		before := time.Now()
		assert.Equal(t, runners[3].Claim(ctx, keyOf("new", true)), port.ClaimGranted)
		t.Logf("first grant after %s", time.Since(before))
		assert.Equal(t, runners[1].Claim(ctx, ran), port.ClaimRan)
		assert.Equal(t, runners[1].Claim(ctx, running), port.ClaimRunning)
	})
}

// A replica that hangs or is gone costs nothing; two of three decide.
func TestOneReplicaGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, newTable())
		defer w.stopAll()
		runners := w.startAll()
		w.stop(2)
		before := time.Now()
		assert.Equal(t, runners[0].Claim(context.Background(), keyOf("key", true)), port.ClaimGranted)
		assert.Equal(t, time.Since(before), 2*time.Millisecond)
		w.stop(1)
		key := keyOf("other", true)
		assert.Equal(t, runners[0].Claim(context.Background(), key), port.ClaimInDoubt)
		w.start(1)
		time.Sleep(5 * time.Second) // the vote is given back, and the replica catches up
		w.start(2)
		time.Sleep(5 * time.Second)
		assert.Equal(t, runners[0].Claim(context.Background(), keyOf("third", true)), port.ClaimGranted)
	})
}
