package buffers

import (
	"sync"
	"time"
)

// progress tracks how long the daemon has been waiting for a peer.
type progress struct {
	mutex sync.Mutex
	// waitingSince is the start of the current wait, or zero. moved is the number of bytes that the
	// peer has received or sent since then.
	waitingSince time.Time
	moved        int64
	// deadline is when nobody waits for the exchange any more; zero is never.
	deadline time.Time
	// onStall is called once per long wait; stallReported is set then.
	onStall       func()
	stallReported bool
}

// pace is a snapshot of a peer's progress. waited is zero if the daemon isn't waiting for it.
type pace struct {
	waited  time.Duration
	moved   int64
	expired bool
}

func (p *progress) isWaiting() bool {
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

// slow reports whether the peer may be evicted.
func (p pace) slow() bool { return p.waited >= minStall && p.rate() < minHealthyRate }

// rate is the peer's transfer rate in bytes per second since the start of the wait.
func (p pace) rate() float64 {
	return float64(p.moved) / max(p.waited.Seconds(), time.Millisecond.Seconds())
}

// stall returns the callback if a stall is to be reported now, or nil.
func (p *progress) stall(now time.Time) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stallReported || p.onStall == nil || p.waitingSince.IsZero() || now.Sub(p.waitingSince) < stallNotifyAfter {
		return nil
	}
	p.stallReported = true
	return p.onStall
}
