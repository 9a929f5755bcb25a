package engine

import (
	"context"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// idlePause is how long the driver sleeps when the engine has nothing to do.
const idlePause = time.Hour

// driver runs an engine model in real time and hands its results to the
// requests that wait for them.
type driver struct {
	owner  *Engine
	events *eventLog
	wake   chan struct{}

	mutex   sync.Mutex
	engine  *model.Engine
	streams map[model.Key]chan model.Result
	samples []loadSample
	role    string
	// wanted is the newest version ordered of each model.
	wanted map[identity.ModelName]identity.WeightsVersion
}

// loadSample is a load report with its time.
type loadSample struct {
	at   time.Time
	load enginewire.Load
}

// loadSampleInterval is the least time between two load samples.
const loadSampleInterval = 10 * time.Millisecond

// streamSlack is how many results a stream has beside its tokens.
const streamSlack = 4

func newDriver(owner *Engine) *driver {
	return &driver{
		owner:   owner,
		events:  newEventLog(owner.options, owner.Incarnation()),
		wake:    make(chan struct{}, 1),
		engine:  model.New(owner.options.Model),
		streams: make(map[model.Key]chan model.Result),
		wanted:  make(map[identity.ModelName]identity.WeightsVersion),
	}
}

// run advances the engine until the context ends.
func (d *driver) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-d.wake:
		}
		timer.Reset(d.advance())
	}
}

// advance brings the engine up to the present and returns how long it has
// nothing to do from there.
func (d *driver) advance() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.deliver(now)
	next, found := d.engine.NextEventAt()
	if !found {
		return idlePause
	}
	return max(0, next.Sub(now))
}

// deliver hands out what the engine has done up to now. The mutex is held.
func (d *driver) deliver(now time.Time) {
	for _, result := range d.engine.Advance(now) {
		switch result := result.(type) {
		case model.Started:
			d.send(result.Key, result, false)
		case model.Token:
			d.send(result.Key, result, false)
		case model.Finished:
			d.send(result.Key, result, true)
		case model.Refused:
			d.send(result.Key, result, true)
		}
	}
	if events := d.engine.TakeCacheEvents(); len(events) > 0 {
		d.events.append(now, events, d.owner.Faults())
	}
	d.sampleLoad(now)
}

func (d *driver) send(key model.Key, result model.Result, last bool) {
	stream := d.streams[key]
	if stream == nil {
		return
	}
	stream <- result
	if last {
		close(stream)
		delete(d.streams, key)
	}
}

// submit gives a request to the engine. It returns the channel of its results,
// which is closed at its end, or a refusal code.
func (d *driver) submit(request model.Request) (<-chan model.Result, string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.deliver(now)
	if code := d.engine.Submit(now, request); code != "" {
		return nil, code
	}
	stream := make(chan model.Result, request.OutputTokens+streamSlack)
	d.streams[request.Key] = stream
	d.deliver(now)
	d.notify()
	return stream, ""
}

// cancel stops a request; its channel is closed without a last result.
func (d *driver) cancel(key model.Key) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.deliver(now)
	if !d.engine.Cancel(now, key) {
		return
	}
	if stream := d.streams[key]; stream != nil {
		close(stream)
		delete(d.streams, key)
	}
	d.notify()
}

// notify makes the driver look at the engine again.
func (d *driver) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *driver) sampleLoad(now time.Time) {
	if count := len(d.samples); count > 0 && now.Sub(d.samples[count-1].at) < loadSampleInterval {
		return
	}
	d.samples = append(d.samples, loadSample{at: now, load: d.engine.Load(now)})
}

// load is the load report as it lags.
func (d *driver) load() enginewire.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.deliver(now)
	lag := d.owner.options.LoadLag + backend.Milliseconds(d.owner.Faults().LoadLagMilliseconds)
	wanted := now.Add(-lag)
	for len(d.samples) > 1 && !d.samples[1].at.After(wanted) {
		d.samples = d.samples[1:]
	}
	return d.samples[0].load
}

func (d *driver) loaded(name identity.ModelName) (identity.WeightsVersion, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.engine.Loaded(name)
}

func (d *driver) models() []enginewire.LoadedModel {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.engine.Models()
}

func (d *driver) setRole(role string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.role = role
}

func (d *driver) currentRole() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.role
}

// want notes that a version of a model is to be loaded.
func (d *driver) want(wanted ModelVersion) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wanted[wanted.Model] = wanted.Version
	d.engine.SetLoading(wanted.Model, wanted.Version)
}

// unload removes a model, also one that is still loading.
func (d *driver) unload(name identity.ModelName) {
	d.change(func(now time.Time, engine *model.Engine) {
		delete(d.wanted, name)
		engine.Unload(now, name)
	})
}

// needed tells whether a version is still wanted and not yet ready.
func (d *driver) needed(wanted ModelVersion) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	version, ready := d.engine.Loaded(wanted.Model)
	return d.wanted[wanted.Model] == wanted.Version && (!ready || version != wanted.Version)
}

// finishLoad makes fetched weights ready, unless a later order wants others.
func (d *driver) finishLoad(wanted ModelVersion) {
	d.change(func(now time.Time, engine *model.Engine) {
		if d.wanted[wanted.Model] == wanted.Version {
			engine.SetLoaded(now, wanted.Model, wanted.Version)
		}
	})
}

// change lets a function change the engine and hands out what follows.
func (d *driver) change(apply func(now time.Time, engine *model.Engine)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	apply(now, d.engine)
	d.deliver(now)
	d.notify()
}

// exportChain returns a cached chain and waits as long as its transfer takes.
func (d *driver) exportChain(ctx context.Context, last prefix.Hash) prefix.Chain {
	var chain prefix.Chain
	var duration time.Duration
	d.change(func(now time.Time, engine *model.Engine) { chain, duration = engine.Export(now, last) })
	pause.For(ctx, duration)
	return chain
}

// importChain puts a chain into the cache and waits until it is there.
func (d *driver) importChain(ctx context.Context, chain prefix.Chain) {
	var endsAt time.Time
	d.change(func(now time.Time, engine *model.Engine) { endsAt = engine.Import(now, chain) })
	pause.For(ctx, time.Until(endsAt))
}
