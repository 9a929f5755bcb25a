package presence

import (
	"maps"
	"sync"
	"time"
)

const (
	// SilentTime is for how long a daemon that did not answer is not asked, or until it is
	// heard again, but leastSilentTime at least.
	SilentTime      = time.Second
	leastSilentTime = 150 * time.Millisecond
)

// Silence notes which daemons did not answer a question, so that others are asked in their
// place for a moment. It is safe for use by several goroutines.
type Silence struct {
	list  *List
	mutex sync.Mutex
	// since is since when a daemon is silent.
	since map[string]time.Time
}

// NewSilence makes a Silence of daemons that a list knows of.
func NewSilence(list *List) *Silence { return &Silence{list: list, since: map[string]time.Time{}} }

// Note notes that a daemon did not answer, and forgets what is past. It returns true if it had
// answered before.
func (s *Silence) Note(address string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.since, func(_ string, since time.Time) bool { return now.Sub(since) > 2*SilentTime })
	_, found := s.since[address]
	s.since[address] = now
	return !found
}

// Is tells whether a daemon is not to be asked.
func (s *Silence) Is(address string, now time.Time) bool {
	s.mutex.Lock()
	since, found := s.since[address]
	s.mutex.Unlock()
	if !found || now.Sub(since) > SilentTime {
		return false
	}
	return !s.list.HeardSince(address, since.Add(leastSilentTime))
}
