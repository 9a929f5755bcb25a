package presence

import (
	"maps"
	"sync"
	"time"
)

const (
	// UnresponsiveTime is for how long a daemon that did not answer is not asked, or until it is
	// heard again, but leastSilentTime at least.
	UnresponsiveTime = time.Second
	leastSilentTime  = 150 * time.Millisecond
)

// Unresponsive notes which daemons did not answer a question, so that others are asked in their
// place for a moment. It is safe for use by several goroutines.
type Unresponsive struct {
	list  *List
	mutex sync.Mutex
	// since is since when a daemon is silent.
	since map[string]time.Time
}

// NewUnresponsive makes an Unresponsive of daemons that a list knows of.
func NewUnresponsive(list *List) *Unresponsive {
	return &Unresponsive{list: list, since: map[string]time.Time{}}
}

// Add notes that a daemon did not answer, and forgets what is past. It returns true if it had
// answered before.
func (s *Unresponsive) Add(address string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.since, func(_ string, since time.Time) bool { return now.Sub(since) > 2*UnresponsiveTime })
	_, found := s.since[address]
	s.since[address] = now
	return !found
}

// Contains tells whether a daemon is not to be asked.
func (s *Unresponsive) Contains(address string, now time.Time) bool {
	s.mutex.Lock()
	since, found := s.since[address]
	s.mutex.Unlock()
	if !found || now.Sub(since) > UnresponsiveTime {
		return false
	}
	return !s.list.HeardSince(address, since.Add(leastSilentTime))
}
