package cluster

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// watchingBudget covers two exchanges of members, 20 s apart, by which daemons that
// missed a join learn of it.
const watchingBudget = 2 * startBudget

// recorder is a scheduler that notes what its daemon hears of engines.
type recorder struct {
	scheduler.Policy
	mutex  sync.Mutex
	loads  map[identity.BackendID]bool
	events map[identity.BackendID]identity.Incarnation
}

func newRecorder() *recorder {
	return &recorder{
		Policy: scheduler.New(scheduler.Options{}),
		loads:  map[identity.BackendID]bool{}, events: map[identity.BackendID]identity.Incarnation{},
	}
}

// ObserveLoad implements scheduler.Policy.
func (r *recorder) ObserveLoad(now time.Time, id identity.BackendID, incarnation identity.Incarnation, load enginewire.Load) {
	r.mutex.Lock()
	r.loads[id] = true
	r.mutex.Unlock()
	r.Policy.ObserveLoad(now, id, incarnation, load)
}

// ObserveCacheEvents implements scheduler.Policy.
func (r *recorder) ObserveCacheEvents(now time.Time, id identity.BackendID, batch enginewire.CacheEventBatch) {
	r.mutex.Lock()
	r.events[id] = batch.Incarnation
	r.mutex.Unlock()
	r.Policy.ObserveCacheEvents(now, id, batch)
}

// heard counts the engines whose load the daemon has heard of.
func (r *recorder) heard() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.loads)
}

func (r *recorder) eventsOf(id identity.BackendID) identity.Incarnation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.events[id]
}

// await waits until a condition holds.
func await(t *testing.T, ctx context.Context, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		assert.NilError(t, ctx.Err(), what)
		time.Sleep(readyPollInterval)
	}
}

func (d *Daemon) incarnationOf(id identity.BackendID) identity.Incarnation {
	for _, backend := range d.View().Backends {
		if backend.ID == id && len(backend.Models) > 0 {
			return backend.Incarnation
		}
	}
	return 0
}

// Each engine is asked by two daemons of its own zone and by nobody else, and yet
// every daemon learns of its load, its crash and its next life. Cache events come to the
// two watchers only, also those of the next life.
func TestBackendsAreKnownThroughTheirWatchers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), watchingBudget)
	defer cancel()
	options := small(t)
	options.Engines, options.Apps = options.Engines[:2], nil
	recorders := map[identity.DaemonID]*recorder{}
	zones := map[identity.DaemonID]identity.Zone{}
	options.Daemons = nil
	for _, id := range []identity.DaemonID{"daemon-1", "daemon-2", "daemon-3", "daemon-4", "daemon-5", "daemon-6"} {
		zone := options.Engines[len(recorders)%2].Zone
		recorders[id], zones[id] = newRecorder(), zone
		options.Daemons = append(options.Daemons, DaemonOptions{ID: id, Zone: zone, Policy: recorders[id]})
	}
	running, err := Start(ctx, options)
	assert.NilError(t, err)
	defer running.Close()

	await(t, ctx, "two watchers for each zone's engine", func() bool {
		watched := map[identity.Zone]int{}
		for _, daemon := range running.Daemons {
			watched[zones[daemon.Settings.Identity.Daemon]] += watchedBy(t, daemon)
		}
		return watched[options.Engines[0].Zone] == 2 && watched[options.Engines[1].Zone] == 2
	})
	for _, daemon := range running.Daemons {
		recorder := recorders[daemon.Settings.Identity.Daemon]
		await(t, ctx, "loads of both engines", func() bool { return recorder.heard() == 2 })
	}

	crashed := running.Engines[0]
	before := crashed.Incarnation()
	crashed.Crash(2 * time.Second)
	for _, daemon := range running.Daemons {
		await(t, ctx, "the crash known everywhere", func() bool { return daemon.incarnationOf("engine-1") != before })
	}
	for _, daemon := range running.Daemons {
		await(t, ctx, "the next life known everywhere", func() bool { return daemon.incarnationOf("engine-1") > before })
	}

	// Of two engines one may get all requests, so the other is stopped.
	running.Engines[1].Crash(time.Minute)
	for _, daemon := range running.Daemons {
		await(t, ctx, "the other crash known", func() bool { return daemon.incarnationOf("engine-2") == 0 })
	}
	answer, body := post(t, running.Daemons[1].Addresses().Callers, "/v1/completions", map[string]any{
		"model": modelName, "prompt": strings.Repeat("lap 17 in Rose-Hill. ", 300), "max_tokens": 2,
	})
	assert.Equal(t, answer.StatusCode, http.StatusOK, body)
	watching := func() (count int) {
		for _, recorder := range recorders {
			if recorder.eventsOf("engine-1") == crashed.Incarnation() {
				count++
			}
		}
		return count
	}
	await(t, ctx, "cache events of the next life", func() bool { return watching() == 2 })
	for daemon, recorder := range recorders {
		own := zones[daemon] == crashed.Machine.Zone
		assert.Assert(t, own || recorder.eventsOf("engine-1") == 0, "%s reads events it does not watch", daemon)
	}
}

// watchedBy reads how many back ends a daemon asks, from its metrics.
func watchedBy(t *testing.T, daemon *Daemon) int {
	t.Helper()
	answer, err := http.Get("http://" + daemon.Addresses().Health + "/metrics")
	assert.NilError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	_, after, found := strings.Cut(string(text), "\nlotusward_backends_watched ")
	assert.Assert(t, found, "the metric is missing")
	line, _, _ := strings.Cut(after, "\n")
	count, err := strconv.Atoi(line)
	assert.NilError(t, err)
	return count
}
