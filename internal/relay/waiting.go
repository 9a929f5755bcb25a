package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/waitqueue"
)

// waitCheckInterval is how often a waiting request retries the selection without being woken,
// because some backends become eligible again merely by the passage of time.
const waitCheckInterval = 50 * time.Millisecond

// waitListName names a list of requests that wait for the same backends: those of a service, or
// those of one of its software versions.
type waitListName string

// versionSeparator separates the service from the software version in the name of a list.
const versionSeparator = "\x00"

// waitList returns the list that the request waits in. A stream that is continued waits apart from
// other requests, because they need not wait for backends of its software version.
func (r *run) waitList() waitListName {
	service := waitListName(r.admitted.match.Service)
	if r.began == nil {
		return service
	}
	return service + versionSeparator + waitListName(*r.began)
}

// waitLists holds the requests waiting at this daemon for a backend, by the backends they wait for.
// They are ordered by priority, then requests that can still meet their target latency before late
// ones, then by arrival. A request that is already late gains nothing from going first and would
// only make others late. Backends of a software version may be reserved for a waiting stream that
// can run at these alone. It is safe for concurrent use.
type waitLists struct {
	mutex    sync.Mutex
	services map[waitListName][]*waiter
	queues   map[waitListName]*waitqueue.Queue
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
	// reservesUntil is until when backends of its software version are reserved for a stream that is
	// continued; the zero time means never.
	reservesUntil time.Time
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

// reserves reports whether the waiting request reserves backends before another one.
func (w *waiter) reserves(now time.Time, other queuePosition) bool {
	return now.Before(w.position.reservesUntil) && !other.before(now, w.position)
}

func (w *waiter) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

func newWaitLists(now func() time.Time) *waitLists {
	return &waitLists{
		services: map[waitListName][]*waiter{}, queues: map[waitListName]*waitqueue.Queue{}, now: now,
	}
}

// enter adds a waiting request.
func (l *waitLists) enter(name waitListName, at queuePosition) *waiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.services[name]) == 0 {
		l.queue(name).Begin(l.now())
	}
	entered := &waiter{position: at, wakeup: make(chan struct{}, 1)}
	l.services[name] = append(l.services[name], entered)
	return entered
}

// queue returns the queue statistics of a list. The caller holds the mutex.
func (l *waitLists) queue(name waitListName) *waitqueue.Queue {
	found := l.queues[name]
	if found == nil {
		found = &waitqueue.Queue{}
		l.queues[name] = found
	}
	return found
}

// granted records that a waiting request obtained a slot.
func (l *waitLists) granted(name waitListName) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queue(name).Granted(l.now())
}

// expectedWait estimates the wait of a request that arrives now.
func (l *waitLists) expectedWait(name waitListName, at queuePosition) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now, ahead := l.now(), 0
	for _, other := range l.services[name] {
		if !at.before(now, other.position) {
			ahead++
		}
	}
	return l.queue(name).EstimateWait(now, ahead)
}

// retryAfter records that a request is refused for lack of a free slot, and returns its retry
// delay.
func (l *waitLists) retryAfter(name waitListName) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue(name).RetryAfter(l.now())
}

// leave removes a request and wakes the next one.
func (l *waitLists) leave(name waitListName, left *waiter) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := slices.DeleteFunc(l.services[name], func(other *waiter) bool { return other == left })
	if len(list) == 0 {
		delete(l.services, name)
		l.wakeOthers(name)
		return
	}
	l.services[name] = list
	l.first(name).wake()
}

// wakeOthers wakes the first of the requests that could not have the backends which the streams of a list waited for. The caller
// holds the mutex.
func (l *waitLists) wakeOthers(name waitListName) {
	service, _, continued := strings.Cut(string(name), versionSeparator)
	if first := l.first(waitListName(service)); continued && first != nil {
		first.wake()
	}
}

// wakeFirst wakes the first waiting request of each list.
func (l *waitLists) wakeFirst() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name := range l.services {
		l.first(name).wake()
	}
}

// first returns the first waiting request, or nil if none waits. The caller holds the mutex.
func (l *waitLists) first(name waitListName) *waiter {
	now := l.now()
	var first *waiter
	for _, other := range l.services[name] {
		if first == nil || other.position.before(now, first.position) {
			first = other
		}
	}
	return first
}

// awaitedVersions returns the software versions of a service whose backends are reserved for streams that are continued and precede a
// request.
func (l *waitLists) awaitedVersions(service waitListName, at queuePosition) []identity.SoftwareVersion {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now, awaited := l.now(), []identity.SoftwareVersion(nil)
	for name := range l.services {
		version, continued := strings.CutPrefix(string(name), string(service)+versionSeparator)
		if continued && slices.ContainsFunc(l.services[name], func(each *waiter) bool { return each.reserves(now, at) }) {
			awaited = append(awaited, identity.SoftwareVersion(version))
		}
	}
	return awaited
}

// isFirst reports whether no other request precedes the given one.
func (l *waitLists) isFirst(name waitListName, asking *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.first(name) == asking
}

// precedesAll reports whether a newly arrived request precedes all waiting ones.
func (l *waitLists) precedesAll(name waitListName, at queuePosition) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := l.first(name)
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
