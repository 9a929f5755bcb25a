package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/waitqueue"
)

// waitCheckInterval is how often a waiting request looks for a back end though none
// was told to be free: time alone makes some of them do again.
const waitCheckInterval = 50 * time.Millisecond

// waitingLists holds the requests that wait at this daemon for a back end, by
// service: the most urgent goes first; of equals those that can still be in time, and of
// those the oldest. One that is late already has no haste, and would only make the others
// late too. It is safe for use by several goroutines.
type waitingLists struct {
	mutex    sync.Mutex
	services map[identity.ServiceName][]*waiter
	queues   map[identity.ServiceName]*waitqueue.Queue
	now      func() time.Time
}

// waiter is one waiting request.
type waiter struct {
	place place
	// turn gets a value when the request is to look for a back end.
	turn chan struct{}
}

// place is what decides who goes first.
type place struct {
	priority  int
	arrivedAt time.Time
	// lateFrom is from when the request can no longer be in time; zero is never.
	lateFrom time.Time
}

// late tells whether the request can no longer be in time.
func (p place) late(now time.Time) bool { return !p.lateFrom.IsZero() && !now.Before(p.lateFrom) }

// before tells whether a request goes before another one.
func (p place) before(now time.Time, other place) bool {
	if p.priority != other.priority {
		return p.priority < other.priority
	}
	if late := p.late(now); late != other.late(now) {
		return !late
	}
	return p.arrivedAt.Before(other.arrivedAt)
}

func (w *waiter) wake() {
	select {
	case w.turn <- struct{}{}:
	default:
	}
}

func newWaitingLists(now func() time.Time) *waitingLists {
	return &waitingLists{
		services: map[identity.ServiceName][]*waiter{}, queues: map[identity.ServiceName]*waitqueue.Queue{}, now: now,
	}
}

// enter adds a waiting request.
func (l *waitingLists) enter(service identity.ServiceName, at place) *waiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.services[service]) == 0 {
		l.queue(service).Begin(l.now())
	}
	entered := &waiter{place: at, turn: make(chan struct{}, 1)}
	l.services[service] = append(l.services[service], entered)
	return entered
}

// queue is what is known of the waiting requests of a service. The caller holds the mutex.
func (l *waitingLists) queue(service identity.ServiceName) *waitqueue.Queue {
	found := l.queues[service]
	if found == nil {
		found = &waitqueue.Queue{}
		l.queues[service] = found
	}
	return found
}

// granted notes that a waiting request got a place.
func (l *waitingLists) granted(service identity.ServiceName) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queue(service).Granted(l.now())
}

// expectedWait is how long a request that comes now is to reckon with.
func (l *waitingLists) expectedWait(service identity.ServiceName, at place) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now, ahead := l.now(), 0
	for _, other := range l.services[service] {
		if !at.before(now, other.place) {
			ahead++
		}
	}
	return l.queue(service).EstimateWait(now, ahead)
}

// retryAfter notes that a request is refused for want of a place, and says when it is to
// come back.
func (l *waitingLists) retryAfter(service identity.ServiceName) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue(service).RetryAfter(l.now())
}

// leave removes a request, and lets the next one look.
func (l *waitingLists) leave(service identity.ServiceName, left *waiter) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := slices.DeleteFunc(l.services[service], func(other *waiter) bool { return other == left })
	if len(list) == 0 {
		delete(l.services, service)
		return
	}
	l.services[service] = list
	l.first(service).wake()
}

// wakeFirst lets the first request of each service look for a back end.
func (l *waitingLists) wakeFirst() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for service := range l.services {
		l.first(service).wake()
	}
}

// first is who goes first now, or nil when none waits. The caller holds the mutex.
func (l *waitingLists) first(service identity.ServiceName) *waiter {
	now := l.now()
	var first *waiter
	for _, other := range l.services[service] {
		if first == nil || other.place.before(now, first.place) {
			first = other
		}
	}
	return first
}

// isFirst tells whether no other request goes before one.
func (l *waitingLists) isFirst(service identity.ServiceName, asking *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.first(service) == asking
}

// goesBefore tells whether a request that has just come goes before all that wait.
func (l *waitingLists) goesBefore(service identity.ServiceName, at place) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := l.first(service)
	return first == nil || at.before(l.now(), first.place)
}

// await waits for the turn to look, until a time.
func (w *waiter) await(ctx context.Context, until time.Duration) {
	timer := time.NewTimer(min(until, waitCheckInterval))
	defer timer.Stop()
	select {
	case <-w.turn:
	case <-timer.C:
	case <-ctx.Done():
	}
}
