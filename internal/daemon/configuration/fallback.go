package configuration

import (
	"sync"
	"time"
)

// firstFallback is the least wait of a starting daemon before its own questions
// to the table and to all daemons.
const firstFallback = time.Second

// fallbackGate spaces out the costly questions of daemons that aren't roots, so
// that all daemons together ask no more often than the herd rate allows.
type fallbackGate struct {
	mutex sync.Mutex
	next  time.Time
}

// passed tells whether the time of the next question has come.
func (g *fallbackGate) passed(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !now.Before(g.next)
}

// enter tells whether the time has come, and if so sets the next one.
func (g *fallbackGate) enter(now time.Time, period time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.Before(g.next) {
		return false
	}
	g.next = now.Add(period)
	return true
}
