package presence

import (
	"maps"
	"sync"
	"time"
)

const (
	// UnresponsiveTime is for how long a daemon that did not answer is skipped. Being heard again ends this
	// earlier, but only if the daemon is heard more than minUnresponsiveTime after the missing answer.
	UnresponsiveTime    = time.Second
	minUnresponsiveTime = 150 * time.Millisecond
)

// Unresponsive records which daemons did not answer a request, so that others are asked in their place for
// UnresponsiveTime. It is safe for use by several goroutines.
type Unresponsive struct {
	list  *List
	mutex sync.Mutex
	// since holds, by address, when a daemon last failed to answer.
	since map[string]time.Time
}

// NewUnresponsive returns an empty Unresponsive that learns from list which daemons were heard again.
func NewUnresponsive(list *List) *Unresponsive {
	return &Unresponsive{list: list, since: map[string]time.Time{}}
}

// Add records that a daemon did not answer and deletes expired entries. It returns true if there was no earlier
// entry for the daemon.
func (s *Unresponsive) Add(address string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.since, func(_ string, since time.Time) bool { return now.Sub(since) > 2*UnresponsiveTime })
	_, found := s.since[address]
	s.since[address] = now
	return !found
}

// Contains reports whether a daemon is currently to be skipped.
func (s *Unresponsive) Contains(address string, now time.Time) bool {
	s.mutex.Lock()
	since, found := s.since[address]
	s.mutex.Unlock()
	if !found || now.Sub(since) > UnresponsiveTime {
		return false
	}
	return !s.list.HeardSince(address, since.Add(minUnresponsiveTime))
}
