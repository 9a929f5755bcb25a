package weightupdate

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

// Options are what a Keeper works with.
type Options struct {
	Holder identity.DaemonID
	Lease  Lease
	Table  port.TableService
	Pool   *backendpool.Pool
	Named  Named
	Orders Orders
	// Announce tells the other daemons of the plan at once; nil when there are none.
	// It must not block.
	Announce func(Announcement)
	// Refresh tells the pool what other daemons have under way at a back end, where it is not
	// told anyway; nil is where it always is.
	Refresh func(ctx context.Context, id identity.BackendID)
	// DueBy returns until when back ends with a version of a model's weights may begin
	// requests; zero is no bound, and nil knows none.
	DueBy func(model identity.ModelName, version uint64) time.Time
	Log   logrus.FieldLogger
}

// Keeper gives the orders while it holds the lease.
type Keeper struct {
	options Options

	mutex sync.Mutex
	plan  Plan
	// token is of the present grant.
	token identity.FencingToken
	// working are the back ends that an own goroutine is busy with: they get no new
	// requests. Of these, loading counts those that are ordered to load now, and
	// mostLoading is how many may be.
	working     map[identity.BackendID]bool
	loading     int
	mostLoading int
	// passedOver are back ends that get no order before a time.
	passedOver map[identity.BackendID]time.Time
	// changed is set when the plan has to be written.
	changed     bool
	planVersion uint64
	planKnown   bool
	writtenAt   time.Time
	announcer   announcer
	// loadTime is the mean time that a back end takes from the plan to new weights.
	loadTime time.Duration
}

// New makes a Keeper that gives no orders until it runs.
func New(options Options) *Keeper {
	return &Keeper{
		options: options, working: map[identity.BackendID]bool{}, passedOver: map[identity.BackendID]time.Time{}, announcer: announcer{announce: options.Announce},
		loadTime: expectedLoadTime,
	}
}

// Run gives orders until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	pause.Every(ctx, tickInterval, func(now time.Time) { k.tick(ctx, now) })
	return nil
}

// tick starts the work on back ends that are behind, as many as may load at a time.
func (k *Keeper) tick(ctx context.Context, now time.Time) {
	if !k.holds(now) {
		return
	}
	if _, may := k.options.Lease.MayAct(); may {
		var next []identity.BackendID
		for model, version := range k.options.Named.Targets() {
			next = append(next, k.start(ctx, model, version)...)
		}
		k.setNext(next)
	}
	k.followOwn()
	k.announce(now)
	k.writePlan(ctx, now)
}

// announce tells the other daemons of the plan if it is time.
func (k *Keeper) announce(now time.Time) {
	k.mutex.Lock()
	announcement, due := k.announcer.due(now, &k.plan, k.options.Lease.Row())
	k.mutex.Unlock()
	if due {
		k.options.Announce(announcement)
	}
}

// holds tells whether the lease is held, and tells the lease whether orders are to be
// given. A holder without work announces its plan too, so that nobody reads the row.
func (k *Keeper) holds(now time.Time) bool {
	token, held := k.options.Lease.Held()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !held {
		k.token = 0
		return false
	}
	if token != k.token {
		k.token = token
		k.plan = Plan{Token: token}
		k.planKnown = false
		k.changed = true
	}
	k.options.Lease.SetActing(k.hasWork(now))
	return true
}

// Pending tells whether back ends hold weights older than the newest named ones, so that
// somebody has to hold the lease.
func (k *Keeper) Pending() bool { return k.pending(clock.Now()) }

func (k *Keeper) pending(now time.Time) bool {
	for model, version := range k.options.Named.Targets() {
		if k.options.Pool.AnyOutdated(now, model, version) {
			return true
		}
	}
	return false
}

// hasWork tells whether orders are to be given. The caller holds the mutex.
func (k *Keeper) hasWork(now time.Time) bool {
	return len(k.working) > 0 || k.pending(now)
}

// followOwn makes this daemon heed its own plan.
func (k *Keeper) followOwn() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.plan.Follow(k.options.Pool)
}

// start begins the work on the back ends whose turn it is. It returns those that are
// next.
func (k *Keeper) start(ctx context.Context, model identity.ModelName, version uint64) []identity.BackendID {
	now := clock.Now()
	sound := soundOf(k.options.Pool.Holders(now, model))
	behind := behindOf(sound, version)
	newer := len(sound) - len(behind)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	pace := k.pace(now, model, sound, behind)
	k.mostLoading = pace.loading
	waiting := slices.DeleteFunc(behind, func(holder backendpool.Holder) bool {
		return k.working[holder.Backend.ID] || k.isPassedOver(holder.Backend.ID)
	})
	sortByTurn(waiting, k.plan.Next)
	room := min(max(pace.out-len(k.working), 0), len(waiting))
	for _, holder := range waiting[:room] {
		k.begin(ctx, holder.Backend, model)
	}
	return idsOf(next(waiting[room:], pace.out, newer))
}

// begin begins the work on one back end. The caller holds the mutex.
func (k *Keeper) begin(ctx context.Context, backend backendpool.Backend, model identity.ModelName) {
	k.working[backend.ID] = true
	k.plan.Loading = append(k.plan.Loading, backend.ID)
	k.changed = true
	k.announcer.changed = true
	go k.bring(ctx, backend, model, k.token)
}

// setNext says which back ends are next.
func (k *Keeper) setNext(next []identity.BackendID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	slices.Sort(next)
	next = next[:min(len(next), maximumNext)]
	if slices.Equal(next, k.plan.Next) {
		return
	}
	k.plan.Next = next
	k.changed = true
	k.announcer.changed = true
}

// bring brings one back end to the newest version, and gives its place up when
// that is done or takes too long.
func (k *Keeper) bring(ctx context.Context, backend backendpool.Backend, model identity.ModelName, token identity.FencingToken) {
	bounded, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	began := clock.Now()
	version := uint64(0)
	if k.answers(bounded, backend) {
		k.awaitDrained(bounded, backend.ID)
		version = k.loadInTurn(bounded, backend, model, token)
	}
	took := clock.Since(began)
	if version > 0 {
		k.options.Pool.LearnVersion(backend.ID, model, version)
	}
	k.options.Log.WithFields(logrus.Fields{
		"backend": backend.ID, "model": model, "version": version, "took_ms": took.Milliseconds(),
	}).Info("The work on a back end's weights ended.")
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if version > 0 {
		k.loadTime += time.Duration(loadTimeWeight * float64(took-k.loadTime))
	}
	delete(k.working, backend.ID)
	k.plan.Loading = slices.DeleteFunc(k.plan.Loading, func(id identity.BackendID) bool { return id == backend.ID })
	if version > 0 {
		loaded := Loaded{Backend: backend.ID, Model: model, Version: version}
		k.plan.note(loaded)
		k.announcer.loaded(clock.Now(), loaded)
	}
	k.changed = true
	k.announcer.changed = true
}

// answers tells whether a back end answers at all, once the other daemons may have
// heard of the plan. One that doesn't is passed over for a while.
func (k *Keeper) answers(ctx context.Context, backend backendpool.Backend) bool {
	pause.For(ctx, spreadTime)
	_, err := k.report(ctx, backend)
	if err != nil {
		k.passOver(backend.ID)
	}
	return err == nil
}

// awaitDrained waits until no request is under way at a back end, but not for long:
// the back end itself ends what is under way before it loads.
func (k *Keeper) awaitDrained(ctx context.Context, id identity.BackendID) {
	bounded, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	for bounded.Err() == nil {
		if k.options.Refresh != nil {
			k.options.Refresh(bounded, id)
		}
		if k.options.Pool.InFlight(id) == 0 {
			return
		}
		pause.For(bounded, drainCheckInterval)
	}
}

// loadInTurn loads as soon as one more back end may load. It returns as load does.
func (k *Keeper) loadInTurn(ctx context.Context, backend backendpool.Backend, model identity.ModelName, token identity.FencingToken) uint64 {
	for !k.mayLoad() {
		pause.For(ctx, drainCheckInterval)
		if ctx.Err() != nil {
			return 0
		}
	}
	defer k.endLoad()
	return k.load(ctx, backend, model, token)
}

func (k *Keeper) endLoad() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.loading--
}

// mayLoad counts one more back end as loading, if there may be one.
func (k *Keeper) mayLoad() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.loading >= k.mostLoading {
		return false
	}
	k.loading++
	return true
}

// note remembers what a back end holds, in place of what it held.
func (p *Plan) note(loaded Loaded) {
	p.Loaded = slices.DeleteFunc(p.Loaded, func(older Loaded) bool {
		return older.Backend == loaded.Backend && older.Model == loaded.Model
	})
	p.Loaded = append(p.Loaded, loaded)
}

// load orders until the back end holds the newest version. It returns the
// version that it holds, or zero when that is not known.
func (k *Keeper) load(ctx context.Context, backend backendpool.Backend, model identity.ModelName, token identity.FencingToken) uint64 {
	unanswered := 0
	for ctx.Err() == nil {
		version := k.options.Named.Targets()[model]
		report, err := k.report(ctx, backend)
		var ended *EndedError
		switch {
		case errors.As(err, &ended):
			k.options.Log.WithError(err).Info("A back end has started again: its new life gets its own order.")
			return 0
		case err != nil && unanswered >= toleratedSilence:
			k.passOver(backend.ID)
			return 0
		case err != nil:
			unanswered++
			pause.For(ctx, reportInterval)
			continue
		case report.Versions[model] >= version:
			return report.Versions[model]
		case report.Busy:
			pause.For(ctx, reportInterval)
			continue
		}
		reply, err := k.order(ctx, Order{
			Backend: backend, Model: model, Version: version,
			Holder: k.options.Holder, Token: token, Expected: report.Sequence,
		})
		if err != nil {
			pause.For(ctx, settleTime)
			continue
		}
		switch reply {
		case ReplyHolds:
			return version
		case ReplyTaken:
			if held := k.await(ctx, backend, model, version, report.Sequence); held >= version {
				return held
			}
		case ReplyConflict:
			pause.For(ctx, reportInterval)
		case ReplyReplaced:
			k.passOver(backend.ID)
			return 0
		default:
			return 0
		}
	}
	return 0
}

// await waits until a taken order is done. It returns the version held. A report
// with the count of orders from before the order is of an earlier moment.
func (k *Keeper) await(ctx context.Context, backend backendpool.Backend, model identity.ModelName, version, before uint64) uint64 {
	for ctx.Err() == nil {
		pause.For(ctx, reportInterval)
		report, err := k.report(ctx, backend)
		var ended *EndedError
		if errors.As(err, &ended) {
			return 0
		}
		if err != nil {
			continue
		}
		done := report.Sequence > before && !report.Busy
		if done || report.Versions[model] >= version {
			return report.Versions[model]
		}
	}
	return 0
}

// report asks a back end for its report. The error is an EndedError where a later life of it answers,
// whose count of orders began anew.
func (k *Keeper) report(ctx context.Context, backend backendpool.Backend) (Report, error) {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := k.options.Orders.Report(bounded, backend)
	if err == nil && !backend.ID.MatchesIncarnation(report.Incarnation) {
		k.options.Pool.Ended(backend.ID)
		return Report{}, &EndedError{Backend: backend.ID, Later: report.Incarnation}
	}
	return report, err
}

// mayGive waits for a moment until an order under a token may be given. It returns
// false if it may not.
func (k *Keeper) mayGive(token identity.FencingToken) bool {
	until := clock.Now().Add(actWait)
	for {
		held, may := k.options.Lease.TryAct()
		if held != token || (!may && clock.Now().After(until)) {
			return false
		}
		if may {
			return true
		}
		time.Sleep(drainCheckInterval)
	}
}

// order gives one order if the lease is still held under the same token.
func (k *Keeper) order(ctx context.Context, order Order) (Reply, error) {
	if !k.mayGive(order.Token) {
		return ReplyFenced, nil
	}
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := k.options.Orders.Give(bounded, order)
	k.options.Log.WithFields(logrus.Fields{
		"backend": order.Backend.ID, "model": order.Model, "version": order.Version,
		"token": order.Token, "expected": order.Expected, "reply": reply.String(), "error": err,
	}).Info("An order to load weights was given.")
	return reply, err
}
