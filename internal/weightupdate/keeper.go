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

// Options configure a Keeper.
type Options struct {
	Holder identity.DaemonID
	Lease  Lease
	Table  port.TableService
	Pool   *backendpool.Pool
	Named  Named
	Orders Orders
	// Announce sends the plan to the other daemons; nil if there are none. It must not block.
	Announce func(Announcement)
	// Refresh updates the pool's count of other daemons' requests in flight at a back end; nil if the pool always has
	// current counts.
	Refresh func(ctx context.Context, id identity.BackendID)
	// DueBy returns the deadline after which back ends with a version of a model's weights may no longer begin requests.
	// Zero means no deadline; a nil function means that no version has one.
	DueBy func(model identity.ModelName, version uint64) time.Time
	Log   logrus.FieldLogger
}

// Keeper sends load orders to back ends while this daemon holds the lease.
type Keeper struct {
	options Options

	mutex sync.Mutex
	plan  Plan
	// token is the fencing token of the current grant.
	token identity.FencingToken
	// working are the back ends that are being updated, each by its own goroutine; they get no new requests. loading
	// counts those of them that occupy a load slot, and maxLoading is the number of slots.
	working    map[identity.BackendID]bool
	loading    int
	maxLoading int
	// suspendedUntil holds the time before which a back end gets no order.
	suspendedUntil map[identity.BackendID]time.Time
	// changed is set when the plan has to be written.
	changed     bool
	planVersion uint64
	planKnown   bool
	writtenAt   time.Time
	announcer   announcer
	// loadTime is the moving average of the time from the start of a back end's update to its new weights.
	loadTime time.Duration
}

// New returns a Keeper that sends no orders until Run is called.
func New(options Options) *Keeper {
	return &Keeper{
		options: options, working: map[identity.BackendID]bool{}, suspendedUntil: map[identity.BackendID]time.Time{}, announcer: announcer{announce: options.Announce},
		loadTime: initialLoadTime,
	}
}

// Run updates back ends until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	pause.Every(ctx, tickInterval, func(now time.Time) { k.tick(ctx, now) })
	return nil
}

// tick starts updates of outdated back ends within the concurrency limits, and publishes the plan.
func (k *Keeper) tick(ctx context.Context, now time.Time) {
	if !k.checkLease(now) {
		return
	}
	if _, may := k.options.Lease.MayAct(); may {
		var next []identity.BackendID
		for model, version := range k.options.Named.Targets() {
			next = append(next, k.startUpdates(ctx, model, version)...)
		}
		k.setNext(next)
	}
	k.applyOwnPlan()
	k.announce(now)
	k.writePlan(ctx, now)
}

// announce sends the plan to the other daemons if an announcement is due.
func (k *Keeper) announce(now time.Time) {
	k.mutex.Lock()
	announcement, due := k.announcer.due(now, &k.plan, k.options.Lease.Row())
	k.mutex.Unlock()
	if due {
		k.options.Announce(announcement)
	}
}

// checkLease reports whether the lease is held, resets the plan under a new token, and sets whether the holder wants to
// act. A holder without work announces its plan too, so that no daemon reads the row.
func (k *Keeper) checkLease(now time.Time) bool {
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

// Pending reports whether any back end has weights older than the newest named version, so that some daemon must hold
// the lease.
func (k *Keeper) Pending() bool { return k.pending(clock.Now()) }

func (k *Keeper) pending(now time.Time) bool {
	for model, version := range k.options.Named.Targets() {
		if k.options.Pool.AnyOutdated(now, model, version) {
			return true
		}
	}
	return false
}

// hasWork reports whether updates are in progress or pending. The caller holds the mutex.
func (k *Keeper) hasWork(now time.Time) bool {
	return len(k.working) > 0 || k.pending(now)
}

// applyOwnPlan applies the holder's plan to its own pool.
func (k *Keeper) applyOwnPlan() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.plan.Follow(k.options.Pool)
}

// startUpdates starts as many updates as the limits allow, and returns the back ends that are updated next.
func (k *Keeper) startUpdates(ctx context.Context, model identity.ModelName, version uint64) []identity.BackendID {
	now := clock.Now()
	healthy := healthyHolders(k.options.Pool.Holders(now, model))
	outdated := outdatedHolders(healthy, version)
	newer := len(healthy) - len(outdated)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	pace := k.pace(now, model, healthy, outdated)
	k.maxLoading = pace.loading
	waiting := slices.DeleteFunc(outdated, func(holder backendpool.Holder) bool {
		return k.working[holder.Backend.ID] || k.isSuspended(holder.Backend.ID)
	})
	sortByTurn(waiting, k.plan.Next)
	room := min(max(pace.unavailable-len(k.working), 0), len(waiting))
	for _, holder := range waiting[:room] {
		k.startUpdate(ctx, holder.Backend, model)
	}
	return backendIDs(selectNext(waiting[room:], pace.unavailable, newer))
}

// startUpdate starts the update of one back end. The caller holds the mutex.
func (k *Keeper) startUpdate(ctx context.Context, backend backendpool.Backend, model identity.ModelName) {
	k.working[backend.ID] = true
	k.plan.Loading = append(k.plan.Loading, backend.ID)
	k.changed = true
	k.announcer.changed = true
	go k.updateBackend(ctx, backend, model, k.token)
}

// setNext sets the back ends that the plan lists as next.
func (k *Keeper) setNext(next []identity.BackendID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	slices.Sort(next)
	next = next[:min(len(next), maxNext)]
	if slices.Equal(next, k.plan.Next) {
		return
	}
	k.plan.Next = next
	k.changed = true
	k.announcer.changed = true
}

// updateBackend updates one back end to the newest version. It frees the back end's place when that is done or
// updateTimeout has passed.
func (k *Keeper) updateBackend(ctx context.Context, backend backendpool.Backend, model identity.ModelName, token identity.FencingToken) {
	bounded, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	began := clock.Now()
	version := uint64(0)
	if k.isResponsive(bounded, backend) {
		k.awaitDrained(bounded, backend.ID)
		version = k.loadWhenSlotFree(bounded, backend, model, token)
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
		k.loadTime += time.Duration(loadTimeSmoothing * float64(took-k.loadTime))
	}
	delete(k.working, backend.ID)
	k.plan.Loading = slices.DeleteFunc(k.plan.Loading, func(id identity.BackendID) bool { return id == backend.ID })
	if version > 0 {
		loaded := Loaded{Backend: backend.ID, Model: model, Version: version}
		k.plan.recordLoaded(loaded)
		k.announcer.recordLoad(clock.Now(), loaded)
	}
	k.changed = true
	k.announcer.changed = true
}

// isResponsive waits until the plan has reached the other daemons, and reports whether the back end then answers. One
// that doesn't is suspended.
func (k *Keeper) isResponsive(ctx context.Context, backend backendpool.Backend) bool {
	pause.For(ctx, planPropagationDelay)
	_, err := k.report(ctx, backend)
	if err != nil {
		k.suspend(backend.ID)
	}
	return err == nil
}

// awaitDrained waits until no request is in flight at a back end, for at most drainTimeout: the back end itself
// finishes its requests before it loads.
func (k *Keeper) awaitDrained(ctx context.Context, id identity.BackendID) {
	bounded, cancel := context.WithTimeout(ctx, drainTimeout)
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

// loadWhenSlotFree waits for a load slot and then calls load. It returns what load returns, or zero if the context ends
// first.
func (k *Keeper) loadWhenSlotFree(ctx context.Context, backend backendpool.Backend, model identity.ModelName, token identity.FencingToken) uint64 {
	for !k.acquireLoadSlot() {
		pause.For(ctx, drainCheckInterval)
		if ctx.Err() != nil {
			return 0
		}
	}
	defer k.releaseLoadSlot()
	return k.load(ctx, backend, model, token)
}

func (k *Keeper) releaseLoadSlot() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.loading--
}

// acquireLoadSlot occupies a load slot; it returns false if none is free.
func (k *Keeper) acquireLoadSlot() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.loading >= k.maxLoading {
		return false
	}
	k.loading++
	return true
}

// recordLoaded records the version that a back end holds, in place of an earlier one.
func (p *Plan) recordLoaded(loaded Loaded) {
	p.Loaded = slices.DeleteFunc(p.Loaded, func(older Loaded) bool {
		return older.Backend == loaded.Backend && older.Model == loaded.Model
	})
	p.Loaded = append(p.Loaded, loaded)
}

// load sends orders until the back end holds the newest version. It returns the version that the back end holds, or
// zero if that is unknown.
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
		case err != nil && unanswered >= maxUnansweredReports:
			k.suspend(backend.ID)
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
		reply, err := k.sendOrder(ctx, Order{
			Backend: backend, Model: model, Version: version,
			Holder: k.options.Holder, Token: token, Expected: report.Sequence,
		})
		if err != nil {
			pause.For(ctx, reportSettleDelay)
			continue
		}
		switch reply {
		case ReplyHolds:
			return version
		case ReplyTaken:
			if held := k.awaitLoaded(ctx, backend, model, version, report.Sequence); held >= version {
				return held
			}
		case ReplyConflict:
			pause.For(ctx, reportInterval)
		case ReplyReplaced:
			k.suspend(backend.ID)
			return 0
		default:
			return 0
		}
	}
	return 0
}

// awaitLoaded waits until an accepted order has been carried out, and returns the version that the back end holds. A
// report whose order count has not grown since before the order is stale.
func (k *Keeper) awaitLoaded(ctx context.Context, backend backendpool.Backend, model identity.ModelName, version, before uint64) uint64 {
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

// report requests a back end's report. It returns an EndedError if another incarnation answers, since its order count
// started again.
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

// awaitPermission waits up to permissionTimeout until the lease permits orders under a token. It returns false if the
// token is superseded or the time runs out.
func (k *Keeper) awaitPermission(token identity.FencingToken) bool {
	until := clock.Now().Add(permissionTimeout)
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

// sendOrder sends one order if the lease is still held under the same token.
func (k *Keeper) sendOrder(ctx context.Context, order Order) (Reply, error) {
	if !k.awaitPermission(order.Token) {
		return ReplyFenced, nil
	}
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := k.options.Orders.SendOrder(bounded, order)
	k.options.Log.WithFields(logrus.Fields{
		"backend": order.Backend.ID, "model": order.Model, "version": order.Version,
		"token": order.Token, "expected": order.Expected, "reply": reply.String(), "error": err,
	}).Info("An order to load weights was given.")
	return reply, err
}
