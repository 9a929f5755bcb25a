package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// waitCheckInterval is how often a waiting request looks for a back end though none
// was told to be free: time alone makes some of them do again.
const waitCheckInterval = 50 * time.Millisecond

// waitingLists holds the requests that wait at this daemon for a back end, by
// service, the most urgent first and of equals the oldest. It is safe for use by
// several goroutines.
type waitingLists struct {
	mutex    sync.Mutex
	services map[identity.ServiceName][]*waiter
}

// waiter is one waiting request.
type waiter struct {
	priority  int
	arrivedAt time.Time
	// turn gets a value when the request is to look for a back end.
	turn chan struct{}
}

// before tells whether a request goes before another one.
func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.arrivedAt.Before(other.arrivedAt)
}

func (w *waiter) wake() {
	select {
	case w.turn <- struct{}{}:
	default:
	}
}

func newWaitingLists() *waitingLists {
	return &waitingLists{services: map[identity.ServiceName][]*waiter{}}
}

// enter adds a waiting request.
func (l *waitingLists) enter(service identity.ServiceName, priority int, arrivedAt time.Time) *waiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entered := &waiter{priority: priority, arrivedAt: arrivedAt, turn: make(chan struct{}, 1)}
	list := l.services[service]
	at := slices.IndexFunc(list, entered.before)
	if at < 0 {
		at = len(list)
	}
	l.services[service] = slices.Insert(list, at, entered)
	return entered
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
	list[0].wake()
}

// wakeFirst lets the first request of each service look for a back end.
func (l *waitingLists) wakeFirst() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, list := range l.services {
		list[0].wake()
	}
}

// isFirst tells whether no other request goes before one.
func (l *waitingLists) isFirst(service identity.ServiceName, asking *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := l.services[service]
	return len(list) > 0 && list[0] == asking
}

// goesBefore tells whether a request that has just come would go before all that wait.
func (l *waitingLists) goesBefore(service identity.ServiceName, priority int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := l.services[service]
	return len(list) == 0 || priority < list[0].priority
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
