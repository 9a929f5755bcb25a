package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

const (
	targetDaemons = 340
	// tableReadsAllowed bounds the reads of the table in one second, over all
	// daemons: the roots' own share and the herd rate.
	tableReadsAllowed = 50
)

// fleet runs many daemons in simulated time, each at its own pace.
type fleet struct {
	*cluster
	due []time.Time
}

func newFleet(t *testing.T) *fleet {
	made := &fleet{cluster: newCluster(t, targetDaemons, targetDaemons)}
	random := rand.New(rand.NewPCG(1, 2))
	made.random = random.Float64
	made.due = make([]time.Time, targetDaemons)
	made.herdRestart()
	return made
}

func (f *fleet) herdRestart() {
	for index, restarted := range f.daemons {
		restarted.crash()
		restarted.start()
		// Restarts spread over a second.
		f.due[index] = f.now.Add(time.Duration(f.random() * float64(time.Second)))
	}
}

// second is what happened in one simulated second.
type second struct {
	tableReads  int
	mostServed  int
	calls       int
	provisional int
	oldest      time.Duration
}

// runSecond runs all steps and tasks that are due within a second.
func (f *fleet) runSecond() second {
	end := f.now.Add(time.Second)
	f.tableReads = 0
	clear(f.served)
	for {
		index := 0
		for candidate := range f.due {
			if f.due[candidate].Before(f.due[index]) {
				index = candidate
			}
		}
		if !f.due[index].Before(end) {
			break
		}
		f.now = latest(f.now, f.due[index])
		stepped := f.daemons[index]
		stepped.runner.step(context.Background())
		f.runTasks()
		f.due[index] = f.now.Add(stepped.runner.pause())
	}
	f.now = latest(f.now, end)
	return f.summary()
}

func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

func (f *fleet) summary() second {
	seen := second{tableReads: f.tableReads}
	for _, served := range f.served {
		seen.mostServed = max(seen.mostServed, served)
		seen.calls += served
	}
	for _, daemon := range f.daemons {
		status := daemon.runner.Status()
		if status.Provisional {
			seen.provisional++
			continue
		}
		seen.oldest = max(seen.oldest, f.now.Sub(status.ConfirmedAt))
	}
	return seen
}

// runTasks runs all tasks, and those that they lead to.
func (f *fleet) runTasks() {
	for more := true; more; {
		more = false
		for _, daemon := range f.daemons {
			tasks := daemon.tasks
			daemon.tasks = nil
			for _, task := range tasks {
				more = true
				task()
			}
		}
	}
}

func (f *fleet) propose(t *testing.T, id string, operation dynamic.Operation) {
	_, err := f.daemons[0].runner.Propose(context.Background(), dynamic.Change{
		ID: id, Operator: "anna", At: epoch, Operation: operation,
	})
	assert.NilError(t, err)
}

func (f *fleet) setTableDown(down bool) {
	for _, reached := range f.daemons {
		reached.tableDown = down
	}
}

// At the target size the table is asked within its rate, in quiet times, when
// all daemons restart together and in an outage, and no daemon's confirmation
// becomes too old.
func TestTargetSizeSparesTheTable(t *testing.T) {
	f := newFleet(t)
	f.propose(t, "import", dynamic.Operation{Replace: &dynamic.Document{Tenants: []dynamic.Tenant{{Name: "club"}}}})
	phases := []struct {
		name  string
		begin func()
	}{
		{"quiet", func() {}},
		{"herd", f.herdRestart},
		{"outage", func() { f.setTableDown(true) }},
		{"back", func() { f.setTableDown(false) }},
	}
	for _, phase := range phases {
		phase.begin()
		for number := range 6 {
			seen := f.runSecond()
			t.Logf("%s, second %d: %+v", phase.name, number, seen)
			assert.Assert(t, seen.tableReads <= tableReadsAllowed, "%+v", seen)
			assert.Assert(t, number < 4 || seen.provisional == 0, "%+v", seen)
			assert.Assert(t, seen.oldest < DefaultIsolationLimit, "%+v", seen)
		}
	}
}

// When all daemons restart together while the table is down, the mirror gives
// each of them a provisional document, and the table confirms it later.
func TestHerdRestartWithoutTheTableStartsFromTheMirror(t *testing.T) {
	f := newFleet(t)
	f.propose(t, "import", dynamic.Operation{Replace: &dynamic.Document{Tenants: []dynamic.Tenant{{Name: "club"}}}})
	assert.NilError(t, f.daemons[0].runner.writeMirrorIfDue(context.Background()))
	f.herdRestart()
	f.setTableDown(true)
	for number := range 8 {
		t.Logf("down, second %d: %+v, objects read %d", number, f.runSecond(), f.objectReads)
	}
	for _, started := range f.daemons {
		status := started.runner.Status()
		assert.Assert(t, status.Head.Revision == 1 && status.Provisional, "%+v", status)
	}
	assert.Assert(t, f.objectReads <= targetDaemons/10, "%d", f.objectReads)
	f.setTableDown(false)
	for number := range 5 {
		t.Logf("back, second %d: %+v", number, f.runSecond())
	}
	assert.Equal(t, f.summary().provisional, 0)
}

// A change reaches all daemons by pushes, with few from each.
func TestPushReachesAllDaemonsAtTheTargetSize(t *testing.T) {
	f := newFleet(t)
	f.propose(t, "import", dynamic.Operation{Replace: &dynamic.Document{Tenants: []dynamic.Tenant{{Name: "club"}}}})
	f.runTasks()
	clear(f.served)
	f.propose(t, "limits", dynamic.Operation{SetLimits: &dynamic.SetLimits{Tenant: "club"}})
	f.runTasks()
	pushes := 0
	for _, served := range f.served {
		pushes += served
	}
	assert.Equal(t, pushes, targetDaemons-1)
	behind := slices.DeleteFunc(slices.Clone(f.daemons), func(daemon *daemon) bool {
		return daemon.runner.Revision() == 2
	})
	assert.Equal(t, len(behind), 0, fmt.Sprint(len(behind), " daemons are behind"))
	assert.Equal(t, f.daemons[1].runner.Revision(), identity.Revision(2))
}
