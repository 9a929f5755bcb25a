package loadhome

import (
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// ledger adds up what daemons have noted at their home, by back end. It is safe for use by
// several goroutines.
type ledger struct {
	mutex sync.Mutex
	// notes are the last notes of the daemons, by the back end's key and the daemon.
	notes map[uint64]map[string]note
}

// note is what one daemon has under way at one back end.
type note struct {
	load backendpool.Load
	at   time.Time
}

func newLedger() *ledger { return &ledger{notes: map[uint64]map[string]note{}} }

// note takes in what a daemon has under way at a back end.
func (l *ledger) note(now time.Time, from string, load backendpool.Load) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if load.IsEmpty() {
		delete(l.notes[load.Key], from)
		return
	}
	if l.notes[load.Key] == nil {
		l.notes[load.Key] = map[string]note{}
	}
	l.notes[load.Key][from] = note{load: load, at: now}
}

// sum is what all daemons but one have under way at a back end. What was not noted again
// for a while counts for nothing: the daemon is gone, or has another home.
func (l *ledger) sum(now time.Time, key uint64, except string) backendpool.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sum := backendpool.Load{Key: key}
	for from, noted := range l.notes[key] {
		if now.Sub(noted.at) > forgetAfter {
			delete(l.notes[key], from)
			continue
		}
		if from != except {
			sum = sum.Add(noted.load)
		}
	}
	return sum
}

// prune forgets back ends without notes.
func (l *ledger) prune() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for key, noted := range l.notes {
		if len(noted) == 0 {
			delete(l.notes, key)
		}
	}
}
