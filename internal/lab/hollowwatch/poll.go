package hollowwatch

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/core/watch"
)

// What backendwatch does with failed questions.
const (
	refusedLimit = 2
	silentLimit  = 3
	retryDelay   = 100 * time.Millisecond
)

// poll is one daemon's questions to one back end.
type poll struct {
	daemon   *daemon
	backend  *backend
	rank     int
	at       time.Time
	waiting  bool
	failures int
	doubted  bool
}

func (f *Fleet) ask(asked *poll) {
	if f.now.Before(asked.at) {
		return
	}
	if asked.waiting {
		asked.waiting = false
		f.fail(asked)
		return
	}
	asked.daemon.traffic.Polls++
	switch {
	case asked.backend.up:
		asked.failures, asked.doubted = 0, false
		asked.daemon.exchange.ObserveLoad(asked.backend.status())
		f.perform(asked.daemon, asked.daemon.exchange.Observe(f.now, sighting.Seen(asked.backend.status())))
		f.sleep(asked)
	case asked.backend.silent:
		asked.waiting, asked.at = true, f.now.Add(f.options.Pace.Shortest)
	default:
		f.fail(asked)
	}
}

func (f *Fleet) fail(asked *poll) {
	asked.failures++
	limit := refusedLimit
	if asked.backend.silent {
		limit = silentLimit
	}
	if asked.failures < limit && !asked.doubted {
		asked.at = f.now.Add(retryDelay)
		return
	}
	f.giveUp(asked)
}

func (f *Fleet) giveUp(asked *poll) {
	asked.waiting = false
	f.sleep(asked)
	f.perform(asked.daemon, asked.daemon.exchange.ObserveUnreachable(f.now, asked.backend.id))
}

func (f *Fleet) sleep(asked *poll) {
	interval := f.options.Pace.Interval(len(asked.daemon.polls))
	asked.at = watch.Next(f.now, asked.backend.id, asked.rank, interval)
}

func (f *Fleet) recheck(asked *poll, unreachable bool) {
	if asked == nil {
		return
	}
	asked.doubted = asked.doubted || unreachable
	switch {
	case asked.doubted && asked.failures > 0:
		f.giveUp(asked)
	case !asked.waiting:
		asked.at = f.now
	}
}
