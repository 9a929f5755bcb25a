package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/waitqueue"
)

// waitCheckInterval is how often a waiting request retries the selection without being woken,
// because some backends become eligible again merely by the passage of time.
const waitCheckInterval = 50 * time.Millisecond

// waitLists holds, per service, the requests waiting at this daemon for a backend. They are
// ordered by priority, then requests that can still meet their target latency before late ones,
// then by arrival. A request that is already late gains nothing from going first and would only
// make others late. It is safe for concurrent use.
type waitLists struct {
	mutex    sync.Mutex
	services map[identity.ServiceName][]*waiter
	queues   map[identity.ServiceName]*waitqueue.Queue
	now      func() time.Time
}

// waiter is one waiting request.
type waiter struct {
	position queuePosition
	// wakeup receives a value when the request should retry the selection.
	wakeup chan struct{}
}

// queuePosition determines a request's order among waiting requests.
type queuePosition struct {
	priority  int
	arrivedAt time.Time
	// lateAt is the time from which the request can no longer meet its target latency; the zero
	// time means never.
	lateAt time.Time
}

// isLate reports whether the request can no longer meet its target latency.
func (p queuePosition) isLate(now time.Time) bool { return !p.lateAt.IsZero() && !now.Before(p.lateAt) }

// before reports whether a request precedes another one.
func (p queuePosition) before(now time.Time, other queuePosition) bool {
	if p.priority != other.priority {
		return p.priority < other.priority
	}
	if late := p.isLate(now); late != other.isLate(now) {
		return !late
	}
	return p.arrivedAt.Before(other.arrivedAt)
}

func (w *waiter) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

func newWaitLists(now func() time.Time) *waitLists {
	return &waitLists{
		services: map[identity.ServiceName][]*waiter{}, queues: map[identity.ServiceName]*waitqueue.Queue{}, now: now,
	}
}

// enter adds a waiting request.
func (l *waitLists) enter(service identity.ServiceName, at queuePosition) *waiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.services[service]) == 0 {
		l.queue(service).Begin(l.now())
	}
	entered := &waiter{position: at, wakeup: make(chan struct{}, 1)}
	l.services[service] = append(l.services[service], entered)
	return entered
}

// queue returns the queue statistics of a service. The caller holds the mutex.
func (l *waitLists) queue(service identity.ServiceName) *waitqueue.Queue {
	found := l.queues[service]
	if found == nil {
		found = &waitqueue.Queue{}
		l.queues[service] = found
	}
	return found
}

// granted records that a waiting request obtained a slot.
func (l *waitLists) granted(service identity.ServiceName) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queue(service).Granted(l.now())
}

// expectedWait estimates the wait of a request that arrives now.
func (l *waitLists) expectedWait(service identity.ServiceName, at queuePosition) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now, ahead := l.now(), 0
	for _, other := range l.services[service] {
		if !at.before(now, other.position) {
			ahead++
		}
	}
	return l.queue(service).EstimateWait(now, ahead)
}

// retryAfter records that a request is refused for lack of a free slot, and returns its retry
// delay.
func (l *waitLists) retryAfter(service identity.ServiceName) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue(service).RetryAfter(l.now())
}

// leave removes a request and wakes the next one.
func (l *waitLists) leave(service identity.ServiceName, left *waiter) {
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

// wakeFirst wakes the first waiting request of each service.
func (l *waitLists) wakeFirst() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for service := range l.services {
		l.first(service).wake()
	}
}

// first returns the first waiting request, or nil if none waits. The caller holds the mutex.
func (l *waitLists) first(service identity.ServiceName) *waiter {
	now := l.now()
	var first *waiter
	for _, other := range l.services[service] {
		if first == nil || other.position.before(now, first.position) {
			first = other
		}
	}
	return first
}

// isFirst reports whether no other request precedes the given one.
func (l *waitLists) isFirst(service identity.ServiceName, asking *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.first(service) == asking
}

// precedesAll reports whether a newly arrived request precedes all waiting ones.
func (l *waitLists) precedesAll(service identity.ServiceName, at queuePosition) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := l.first(service)
	return first == nil || at.before(l.now(), first.position)
}

// await waits until the request is woken, the wait check interval or the given time has passed, or
// the context ends.
func (w *waiter) await(ctx context.Context, until time.Duration) {
	timer := time.NewTimer(min(until, waitCheckInterval))
	defer timer.Stop()
	select {
	case <-w.wakeup:
	case <-timer.C:
	case <-ctx.Done():
	}
}
