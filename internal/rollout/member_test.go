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

var errTest = errors.New("out of reach")

// member is one daemon of a fleet.
type member struct {
	*peerlinktest.Node
	fleet       *fleet
	index       int
	coordinator *Coordinator
	belief      *belief
	cancel      context.CancelFunc
	ctx         context.Context
	dead        bool
	side        atomic.Int64
	tickedAt    time.Time
	checkedAt   time.Time
	// storeless and reportless daemons reach neither the store nor the back ends' reports.
	storeless, reportless atomic.Bool
	requests              []*request
	// rate is the chance that a request comes in a step.
	rate            float64
	refused, served int
	// couldHear is since when this daemon could have heard of a stop, by service, touched are the
	// orders that these are of, and reachedAt is when it last reached other daemons.
	couldHear map[identity.ServiceName]time.Time
	touched   map[identity.ServiceName]uint64
	reachedAt map[string]time.Time
}

// request is a request with a place at a back end.
type request struct {
	choice  relay.VersionChoice
	version identity.SoftwareVersion
	backend uint64
	sendAt  time.Time
	sent    bool
	endsAt  time.Time
	// over is set once the back end has ended it.
	over bool
}

// belief is what a daemon believes.
type belief struct {
	member    *member
	mutex     sync.Mutex
	known     bool
	confirmed time.Time
	software  map[identity.ServiceName]rollout.Service
}

// start gives the daemon the state that it has after a restart: none.
func (m *member) start() {
	m.belief = &belief{member: m, software: map[identity.ServiceName]rollout.Service{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.coordinator = New(m.newOptions())
	m.tickedAt, m.checkedAt, m.dead = time.Time{}, time.Time{}, false
	m.couldHear, m.touched = map[identity.ServiceName]time.Time{}, map[identity.ServiceName]uint64{}
	m.reachedAt = map[string]time.Time{}
	m.fleet.lives++
	m.SetDown(false)
	m.join()
}

// join takes over what another daemon believes, as long as it has a confirmation of it, whether or
// not it knows the newest.
func (m *member) join() {
	for offset := range m.fleet.members {
		other := m.fleet.members[(m.index+offset)%len(m.fleet.members)]
		if other == m || other.dead || !other.Working() || other.side.Load() != m.side.Load() || other.belief == nil || !other.belief.ready() {
			continue
		}
		other.belief.mutex.Lock()
		confirmed, software := other.belief.confirmed, maps.Clone(other.belief.software)
		other.belief.mutex.Unlock()
		m.belief.adopt(confirmed, software)
		return
	}
}

// kill ends the daemon. The connections of its requests close, and back ends end them.
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

// pause makes the daemon stand still, or ends that.
func (m *member) pause(paused bool) {
	if paused {
		m.Freeze()
		return
	}
	m.Thaw()
}

// cut puts the daemon on a side of a cut, with or without the store.
func (m *member) cut(side int, storeless bool) {
	m.side.Store(int64(side))
	m.SetSide(side)
	m.storeless.Store(storeless)
}

// step does what the daemon does in a moment.
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

// check reads the store, each daemon for itself.
func (m *member) check(now time.Time) {
	delay, answers := m.fleet.store.answers(m)
	if now.Sub(m.checkedAt) < checkTime || !answers || m.fleet.unchecked.Load() {
		return
	}
	m.checkedAt = now
	held := m.belief
	read := map[identity.ServiceName]rollout.Service{}
	for _, service := range m.fleet.services {
		believed := rollout.Service{Standing: m.fleet.store.standing(service)}
		if order, found := m.fleet.store.orderOf(service); found {
			believed.Order, believed.OrderSince = &order, m.fleet.store.now()
		}
		read[service] = believed
	}
	time.AfterFunc(delay, func() { m.WhenAwake(func() { held.adopt(now, read) }) })
	if !m.fleet.relayChecks {
		return
	}
	for _, each := range m.fleet.members {
		if told := each.belief; each.side.Load() == m.side.Load() && each.storeless.Load() {
			time.AfterFunc(delay+peerlinktest.Delay, func() { told.member.WhenAwake(func() { told.adopt(now, read) }) })
		}
	}
}

func (b *belief) adopt(began time.Time, read map[identity.ServiceName]rollout.Service) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.known = true
	if began.After(b.confirmed) {
		b.confirmed = began
	}
	for service, got := range read {
		had := b.software[service]
		if had.Standing.Row > got.Standing.Row {
			got.Standing = had.Standing
		}
		if had.Order != nil && got.Order != nil && had.Order.Number >= got.Order.Number {
			got.Order, got.OrderSince = had.Order, had.OrderSince
		}
		b.software[service] = got
	}
}

func (b *belief) Services() []identity.ServiceName { return b.member.fleet.services }

func (b *belief) Software(service identity.ServiceName) rollout.Service {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.software[service]
}

func (b *belief) ConfirmedAt() time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.confirmed
}

func (b *belief) ready() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.known
}

func (b *belief) StoreClock(time.Time) (time.Duration, bool) {
	return b.member.fleet.store.now(), b.ready()
}

func (b *belief) Learn(_ context.Context, standing rollout.Standing) {
	b.member.WhenAwake(func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		believed := b.software[standing.Service]
		if standing.Row > believed.Standing.Row {
			believed.Standing = standing
			b.software[standing.Service] = believed
		}
	})
}

// Reads is true at the first daemon that reaches the store.
func (b *belief) Reads() bool {
	for _, each := range b.member.fleet.members {
		if b.member.fleet.readerless {
			return false
		}
		if each.Working() && !each.storeless.Load() {
			return each == b.member
		}
	}
	return false
}

func (b *belief) LongestTimeout(identity.ServiceName) time.Duration { return longestRequest }

// Put implements Standings. In a slow store it is written halfway.
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

// passes waits; it returns false if the context ends first.
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
	if !m.belief.ready() {
		return
	}
	m.requests = slices.DeleteFunc(m.requests, func(each *request) bool { return m.proceed(now, each) })
	for _, service := range m.fleet.services {
		if m.fleet.luck.Float64() < m.rate {
			m.begin(now, service, m.fleet.luck.Float64() < 0.9)
		}
	}
}

// begin chooses for a request. Some wait between the choice and the sending.
func (m *member) begin(now time.Time, service identity.ServiceName, first bool) {
	route := []string{"/a", "/b"}[m.fleet.luck.IntN(2)]
	choice := m.coordinator.Choose(service, route, first)
	if choice.Refused {
		m.refused++
		m.coordinator.Dropped(choice)
		return
	}
	version := choice.Version
	listed := m.fleet.versions(service)
	if choice.Any {
		version = listed[m.fleet.luck.IntN(len(listed))]
	}
	keys := choice.Backends
	if keys == nil {
		keys = m.KeysOf(service, version)
	}
	if len(keys) == 0 {
		m.coordinator.Dropped(choice)
		return
	}
	begun := &request{choice: choice, version: version, backend: keys[m.fleet.luck.IntN(len(keys))], sendAt: now}
	if m.fleet.luck.Float64() < 0.2 {
		begun.sendAt = now.Add(time.Duration(m.fleet.luck.Int64N(int64(min(m.fleet.longest, 300*time.Millisecond)))))
	}
	if !m.proceed(now, begun) {
		m.requests = append(m.requests, begun)
	}
}

// proceed sends or ends a request that is due. It returns true once the request is over.
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
		// The back end ends it also while the daemon stands still.
		time.AfterFunc(lasts, func() { m.fleet.ended(each) })
		return false
	}
}

// duration draws how long a request takes.
func (f *fleet) duration() time.Duration {
	if f.luck.Float64() < 0.02 {
		return time.Duration(f.luck.Int64N(int64(f.longest)))
	}
	return time.Duration(f.luck.Int64N(int64(min(f.longest, 300*time.Millisecond))))
}

func (m *member) end(each *request) relay.AttemptResult {
	ended := relay.AttemptResult{Backend: each.backend, Result: backendpool.ResultServed, Status: 200, FirstByte: 20 * time.Millisecond, Tokens: 100}
	if m.fleet.luck.Float64() < m.fleet.badness[each.version] {
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
		f.trials[each.choice.Order]++
	}
	if each.choice.Stage == rollout.StageTrial {
		f.bases[each.choice.Order]++
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

// checkSending checks a request at the moment of its sending.
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
	target := each.choice.Trial || (each.choice.Stage == rollout.StageShift && each.version != m.belief.Software(service).Standing.Stable)
	if since, could := m.couldHear[service]; target && could && now.Sub(since) > stopBound {
		f.violate("daemon %d sends to %s of %s (%s) %v after it could have heard of a stop", m.index, each.version, service, each.choice.Stage, now.Sub(since))
	}
	if reached, all := m.reached(now, service, each.choice.Order); each.choice.Trial && 2*reached <= all {
		f.violate("daemon %d sends to %s of %s under trial and has reached %d of %d collectors", m.index, each.version, service, reached, all)
	}
}

// reached counts the collectors of an order that the daemon reached when a grant could still hold.
func (m *member) reached(now time.Time, service identity.ServiceName, order uint64) (reached, all int) {
	ranking := m.coordinator.collectorsOf(service, order)
	for _, address := range ranking {
		if now.Sub(m.reachedAt[address]) <= grantTime+2*stepTime {
			reached++
		}
	}
	return reached, len(ranking)
}

// noteTouch notes which daemons this one reaches, and since when it could have heard of a stop of
// a service's order under way.
func (m *member) noteTouch(service identity.ServiceName) {
	now, number := time.Now(), m.fleet.store.standing(service).Order
	if !m.Working() || m.dead || m.touched[service] != number {
		m.touched[service] = number
		delete(m.couldHear, service)
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
	if _, held := m.couldHear[service]; !heard {
		delete(m.couldHear, service)
	} else if !held {
		m.couldHear[service] = now
	}
}
