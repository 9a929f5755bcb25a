package buffers

import (
	"sync"
	"time"
)

// progress is how far a peer keeps the daemon waiting.
type progress struct {
	mutex sync.Mutex
	// waitingSince is since when it does, zero while it doesn't; moved is how many bytes it has taken or given since
	// then.
	waitingSince time.Time
	moved        int64
	// deadline is when nobody waits for the exchange any more; zero is never.
	deadline time.Time
	// onStall is told once of each long wait; told is set then.
	onStall func()
	told    bool
}

// pace is how a peer went on up to a moment. Waited is zero where it doesn't keep the daemon waiting.
type pace struct {
	waited  time.Duration
	moved   int64
	expired bool
}

func (p *progress) waits() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.waitingSince.IsZero()
}

func (p *progress) pace(now time.Time) pace {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.waitingSince.IsZero() {
		return pace{}
	}
	return pace{
		waited: now.Sub(p.waitingSince), moved: p.moved, expired: !p.deadline.IsZero() && now.After(p.deadline),
	}
}

// slow tells whether the peer may be ended for room.
func (p pace) slow() bool { return p.waited >= leastStall && p.rate() < healthyRate }

// rate is how many bytes a second the peer has moved since it keeps the daemon waiting.
func (p pace) rate() float64 {
	return float64(p.moved) / max(p.waited.Seconds(), time.Millisecond.Seconds())
}

// stall returns what is to be told of a long wait, the first time; nil otherwise.
func (p *progress) stall(now time.Time) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.told || p.onStall == nil || p.waitingSince.IsZero() || now.Sub(p.waitingSince) < stallNotice {
		return nil
	}
	p.told = true
	return p.onStall
}
