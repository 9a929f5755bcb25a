package rollout

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/relay"
)

var errTest = errors.New("unreachable")

// member simulates one daemon of a fleet.
type member struct {
	*peerlinktest.Node
	fleet       *fleet
	index       int
	coordinator *Coordinator
	directory   *directory
	cancel      context.CancelFunc
	ctx         context.Context
	dead        bool
	side        atomic.Int64
	tickedAt    time.Time
	checkedAt   time.Time
	// storeless daemons can't reach the store, and reportless ones don't get the back ends' reports.
	storeless, reportless atomic.Bool
	requests              []*request
	// rate is the probability of a request in a step.
	rate            float64
	refused, served int
	// stopReachableSince is since when a stop could have reached this daemon, by service, stopReachableOrder
	// holds the order that it refers to, and reachedAt is when this daemon could last reach each of the others.
	stopReachableSince map[identity.ServiceName]time.Time
	stopReachableOrder map[identity.ServiceName]uint64
	reachedAt          map[string]time.Time
}

// request is a request with a place at a back end.
type request struct {
	choice  relay.VersionChoice
	version identity.SoftwareVersion
	backend uint64
	sendAt  time.Time
	sent    bool
	endsAt  time.Time
	// over is set once the request has ended at the back end.
	over bool
}

// directory is a Directory that reads the simulated store.
type directory struct {
	member    *member
	mutex     sync.Mutex
	known     bool
	confirmed time.Time
	software  map[identity.ServiceName]rollout.Service
}

// start starts the daemon without any state, as after a restart.
func (m *member) start() {
	m.directory = &directory{member: m, software: map[identity.ServiceName]rollout.Service{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.coordinator = New(m.newOptions())
	m.tickedAt, m.checkedAt, m.dead = time.Time{}, time.Time{}, false
	m.stopReachableSince, m.stopReachableOrder = map[identity.ServiceName]time.Time{}, map[identity.ServiceName]uint64{}
	m.reachedAt = map[string]time.Time{}
	m.fleet.starts++
	m.SetDown(false)
	m.join()
}

// join copies the state of the first reachable daemon that has any, with the time of its confirmation, whether or
// not that state is up to date.
func (m *member) join() {
	for offset := range m.fleet.members {
		other := m.fleet.members[(m.index+offset)%len(m.fleet.members)]
		if other == m || other.dead || !other.Working() || other.side.Load() != m.side.Load() || other.directory == nil || !other.directory.ready() {
			continue
		}
		other.directory.mutex.Lock()
		confirmed, software := other.directory.confirmed, maps.Clone(other.directory.software)
		other.directory.mutex.Unlock()
		m.directory.adopt(confirmed, software)
		return
	}
}

// kill ends the daemon. The connections of its requests close, so that they end at the back ends.
func (m *member) kill() {
	if m.dead {
		return
	}
	m.Thaw()
	m.dead = true
	m.SetDown(true)
	m.cancel()
	for _, each := range m.requests {
		m.fleet.ended(each)
	}
	m.requests = nil
}

// pause suspends or resumes the daemon.
func (m *member) pause(paused bool) {
	if paused {
		m.Freeze()
		return
	}
	m.Thaw()
}

// cut moves the daemon to a side of a network partition, with or without access to the store.
func (m *member) cut(side int, storeless bool) {
	m.side.Store(int64(side))
	m.SetSide(side)
	m.storeless.Store(storeless)
}

// step runs one step of the daemon.
func (m *member) step() {
	now := time.Now()
	m.check(now)
	for empty := false; !empty; {
		select {
		case event := <-m.coordinator.inbox:
			event(m.ctx, now)
		default:
			empty = true
		}
	}
	if now.Sub(m.tickedAt) >= tickInterval {
		m.tickedAt = now
		m.coordinator.tick(m.ctx, now)
	}
	m.serve(now)
}

// check reads the store for this daemon.
func (m *member) check(now time.Time) {
	delay, answers := m.fleet.store.answers(m)
	if now.Sub(m.checkedAt) < checkTime || !answers || m.fleet.unchecked.Load() {
		return
	}
	m.checkedAt = now
	held := m.directory
	read := map[identity.ServiceName]rollout.Service{}
	for _, service := range m.fleet.services {
		state := rollout.Service{Standing: m.fleet.store.standing(service)}
		if order, found := m.fleet.store.orderOf(service); found {
			state.Order, state.OrderSince = &order, m.fleet.store.now()
		}
		read[service] = state
	}
	time.AfterFunc(delay, func() { m.WhenAwake(func() { held.adopt(now, read) }) })
	if !m.fleet.relayChecks {
		return
	}
	for _, each := range m.fleet.members {
		if told := each.directory; each.side.Load() == m.side.Load() && each.storeless.Load() {
			time.AfterFunc(delay+peerlinktest.Delay, func() { told.member.WhenAwake(func() { told.adopt(now, read) }) })
		}
	}
}

func (d *directory) adopt(began time.Time, read map[identity.ServiceName]rollout.Service) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.known = true
	if began.After(d.confirmed) {
		d.confirmed = began
	}
	for service, got := range read {
		had := d.software[service]
		if had.Standing.Row > got.Standing.Row {
			got.Standing = had.Standing
		}
		if had.Order != nil && got.Order != nil && had.Order.Number >= got.Order.Number {
			got.Order, got.OrderSince = had.Order, had.OrderSince
		}
		d.software[service] = got
	}
}

func (d *directory) Services() []identity.ServiceName { return d.member.fleet.services }

func (d *directory) Software(service identity.ServiceName) rollout.Service {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.software[service]
}

func (d *directory) ConfirmedAt() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.confirmed
}

func (d *directory) ready() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known
}

func (d *directory) StoreClock(time.Time) (time.Duration, bool) {
	return d.member.fleet.store.now(), d.ready()
}

func (d *directory) Learn(_ context.Context, standing rollout.Standing) {
	d.member.WhenAwake(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		state := d.software[standing.Service]
		if standing.Row > state.Standing.Row {
			state.Standing = standing
			d.software[standing.Service] = state
		}
	})
}

// Reads is true for the first daemon that can reach the store.
func (d *directory) Reads() bool {
	for _, each := range d.member.fleet.members {
		if d.member.fleet.readerless {
			return false
		}
		if each.Working() && !each.storeless.Load() {
			return each == d.member
		}
	}
	return false
}

func (d *directory) LongestTimeout(identity.ServiceName) time.Duration { return longestRequest }

// Put implements Standings. In a slow store the write takes effect after half of the delay.
func (m *member) Put(ctx context.Context, standing rollout.Standing, over uint64) (uint64, error) {
	store := m.fleet.store
	if store.before != nil {
		store.before(standing, m)
	}
	delay, answers := store.answers(m)
	if !answers || store.readOnly || !passes(ctx, delay/2) || !m.Working() {
		return 0, &port.UnavailableError{Service: "store", Cause: errTest}
	}
	row, conflict, lost := store.commit(standing, over)
	standing.Row = row
	if store.after != nil && !conflict {
		store.after(standing, m)
	}
	switch {
	case !passes(ctx, delay/2) || lost:
		return 0, &port.OutcomeUnknownError{Service: "store", Cause: errTest}
	case conflict:
		return 0, &port.ConflictError{}
	default:
		return row, nil
	}
}

// Get implements Standings.
func (m *member) Get(ctx context.Context, service identity.ServiceName) (rollout.Standing, bool, error) {
	delay, answers := m.fleet.store.answers(m)
	if !answers || !passes(ctx, delay) {
		return rollout.Standing{}, false, &port.UnavailableError{Service: "store", Cause: errTest}
	}
	found := m.fleet.store.standing(service)
	return found, found.Row > 0, nil
}

// passes waits for a delay. It returns false if the context ends first.
func passes(ctx context.Context, delay time.Duration) bool {
	if delay == 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// serve begins, sends and ends requests.
func (m *member) serve(now time.Time) {
	if !m.directory.ready() {
		return
	}
	m.requests = slices.DeleteFunc(m.requests, func(each *request) bool { return m.proceed(now, each) })
	for _, service := range m.fleet.services {
		if m.fleet.random.Float64() < m.rate {
			m.begin(now, service, m.fleet.random.Float64() < 0.9)
		}
	}
}

// begin selects a version for a request. Some requests wait between the selection and the sending.
func (m *member) begin(now time.Time, service identity.ServiceName, first bool) {
	route := []string{"/a", "/b"}[m.fleet.random.IntN(2)]
	choice := m.coordinator.Choose(service, route, first)
	if choice.Refused {
		m.refused++
		m.coordinator.Dropped(choice)
		return
	}
	version := choice.Version
	listed := m.fleet.versions(service)
	if choice.Any {
		version = listed[m.fleet.random.IntN(len(listed))]
	}
	keys := choice.Backends
	if keys == nil {
		keys = m.KeysOf(service, version)
	}
	if len(keys) == 0 {
		m.coordinator.Dropped(choice)
		return
	}
	begun := &request{choice: choice, version: version, backend: keys[m.fleet.random.IntN(len(keys))], sendAt: now}
	if m.fleet.random.Float64() < 0.2 {
		begun.sendAt = now.Add(time.Duration(m.fleet.random.Int64N(int64(min(m.fleet.longest, 300*time.Millisecond)))))
	}
	if !m.proceed(now, begun) {
		m.requests = append(m.requests, begun)
	}
}

// proceed sends or ends a request that is due. It returns true once the request has ended.
func (m *member) proceed(now time.Time, each *request) bool {
	switch {
	case !each.sent && now.Before(each.sendAt), each.sent && now.Before(each.endsAt):
		return false
	case each.sent:
		m.coordinator.Ended(each.choice, m.end(each))
		return true
	case !m.coordinator.StillValid(each.choice):
		m.coordinator.Dropped(each.choice)
		return true
	default:
		m.coordinator.Sent(each.choice)
		m.served++
		m.checkSending(now, each)
		lasts := m.fleet.duration()
		each.sent, each.endsAt = true, now.Add(lasts)
		m.fleet.began(each)
		// The request ends at the back end even while the daemon is suspended.
		time.AfterFunc(lasts, func() { m.fleet.ended(each) })
		return false
	}
}

// duration draws the duration of a request.
func (f *fleet) duration() time.Duration {
	if f.random.Float64() < 0.02 {
		return time.Duration(f.random.Int64N(int64(f.longest)))
	}
	return time.Duration(f.random.Int64N(int64(min(f.longest, 300*time.Millisecond))))
}

func (m *member) end(each *request) relay.AttemptResult {
	ended := relay.AttemptResult{Backend: each.backend, Result: backendpool.ResultServed, Status: 200, FirstByte: 20 * time.Millisecond, Tokens: 100}
	if m.fleet.random.Float64() < m.fleet.failureRates[each.version] {
		ended.Result, ended.Status, ended.BackendFailed = backendpool.ResultFailed, 500, true
	}
	return ended
}

func (f *fleet) began(each *request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.underWay[each.choice.Service][each.version]++
	f.sent[each.choice.Service][each.version]++
	if each.choice.Trial {
		f.trialRequests[each.choice.Order]++
	}
	if each.choice.Stage == rollout.StageTrial {
		f.stableAndTrialRequests[each.choice.Order]++
	}
}

func (f *fleet) ended(each *request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if each.sent && !each.over {
		each.over = true
		f.underWay[each.choice.Service][each.version]--
	}
}

// checkSending checks the invariants at the time a request is sent.
func (m *member) checkSending(now time.Time, each *request) {
	service, f := each.choice.Service, m.fleet
	if !slices.Contains(f.versions(service), each.version) {
		f.violate("daemon %d sends to %s of %s, which has ended", m.index, each.version, service)
	}
	standing := f.store.standing(service)
	stable := each.version == standing.Stable || each.version == oldVersion
	if ordered := f.store.declared[each.choice.Order]; !stable && ordered != each.version {
		f.violate("daemon %d sends to %s of %s without an order", m.index, each.version, service)
	}
	target := each.choice.Trial || (each.choice.Stage == rollout.StageShift && each.version != m.directory.Software(service).Standing.Stable)
	if since, could := m.stopReachableSince[service]; target && could && now.Sub(since) > stopBound {
		f.violate("daemon %d sends to %s of %s (%s) %v after it could have heard of a stop", m.index, each.version, service, each.choice.Stage, now.Sub(since))
	}
	if reached, all := m.reached(now, service, each.choice.Order); each.choice.Trial && 2*reached <= all {
		f.violate("daemon %d sends to %s of %s under trial and has reached %d of %d collectors", m.index, each.version, service, reached, all)
	}
}

// reached counts the collectors of an order that the daemon could reach so recently that a grant could still
// hold.
func (m *member) reached(now time.Time, service identity.ServiceName, order uint64) (reached, all int) {
	ranking := m.coordinator.collectorsOf(service, order)
	for _, address := range ranking {
		if now.Sub(m.reachedAt[address]) <= grantTime+2*stepTime {
			reached++
		}
	}
	return reached, len(ranking)
}

// updateReachability records which daemons this one can reach, and since when a stop of a service's active order
// could have reached it.
func (m *member) updateReachability(service identity.ServiceName) {
	now, number := time.Now(), m.fleet.store.standing(service).Order
	if !m.Working() || m.dead || m.stopReachableOrder[service] != number {
		m.stopReachableOrder[service] = number
		delete(m.stopReachableSince, service)
	}
	heard := false
	for _, each := range m.fleet.members {
		if !m.Working() || !each.Working() || each.dead || each.side.Load() != m.side.Load() {
			continue
		}
		m.reachedAt[each.Address()] = now
		stop := each.coordinator.stops[service]
		heard = heard || (stop != nil && stop.order == number)
	}
	if _, held := m.stopReachableSince[service]; !heard {
		delete(m.stopReachableSince, service)
	} else if !held {
		m.stopReachableSince[service] = now
	}
}
