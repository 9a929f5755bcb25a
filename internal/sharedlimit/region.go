package sharedlimit

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/presence"
)

// apartTime is for how long a region counts as apart after one of its daemons asked that hears
// nobody here. Each asks a silent home again within a second.
const apartTime = 3 * time.Second

// mostAnswerTime bounds how long an answer from another region is waited for: a request that waits for
// a home and for the one in its place must have time left to be answered. Answers from 20 ms away take
// a tenth of it.
const mostAnswerTime = 400 * time.Millisecond

// patience is how long lies between two sendings of a question to a daemon of a region, and how long
// its answer is waited for, by how long answers from there take, where that is another region.
func (l *Limiter) patience(region identity.Region) (repeat, answer time.Duration) {
	mean, known := l.roundTrips.Mean(region)
	if !known || region == l.options.Topology.RegionOf(l.self) {
		return repeatInterval, answerTimeout
	}
	mean = min(mean, mostAnswerTime/answerFactor)
	return max(time.Duration(repeatFactor*float64(mean)), repeatInterval), max(answerFactor*mean, answerTimeout)
}

// isApart tells whether this daemon hears others, but none of another region any more: what it sends
// may arrive there, but no answer here. One that has just started may not have heard it yet.
func (l *Limiter) isApart(now time.Time, region identity.Region) bool {
	own := l.options.Topology.RegionOf(l.self)
	if own == "" || region == "" || own == region {
		return false
	}
	anyone, there := l.hears(now, region)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if there {
		l.heard[region] = true
	}
	return anyone && !there && (l.heard[region] || now.Sub(l.startedAt) > presence.Time(l.options.Count()))
}

// hears tells whether any other daemon was heard lately, and whether any of a region was.
func (l *Limiter) hears(now time.Time, region identity.Region) (anyone, there bool) {
	daemons := l.options.Count()
	for _, address := range l.options.Topology.Others() {
		if !l.options.Presence.Present(now, daemons, address) {
			continue
		}
		anyone = true
		if l.options.Topology.RegionOf(address) == region {
			return true, true
		}
	}
	return anyone, false
}

// noteApart notes whether the daemons of an asker's region hear those of this one.
func (l *Limiter) noteApart(from string, apart bool) {
	region := l.options.Topology.RegionOf(from)
	if region == "" {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if apart {
		l.apart[region] = l.options.Now()
	}
}

// standing is in which position this daemon grants. A cut may be one way, and then both the home and
// the one in its place may hear all others. The home leaves out regions that don't hear it; the
// other, while it hears the home, grants no more than the part of its region.
func (l *Limiter) standing(now time.Time, home string) quota.Role {
	daemons := l.options.Count()
	if home == l.self {
		return quota.Role{Home: true, Share: l.options.Presence.HomeShare(now, daemons, l.apartAt(now))}
	}
	most := 1.0
	if l.options.Topology.RegionOf(l.self) != l.options.Topology.RegionOf(home) {
		most = presence.ShareOf(len(l.options.Topology.Near(l.self))+1, daemons)
	}
	return quota.Role{
		Share:          l.options.Presence.SubstituteShare(now, daemons, home, most),
		HomeLastSeenAt: l.options.Presence.HeardAt(home),
	}
}

// apartAt returns whether a daemon is of a region that doesn't hear this one; nil where there is none.
func (l *Limiter) apartAt(now time.Time) func(address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	regions := map[identity.Region]bool{}
	for region, at := range l.apart {
		if now.Sub(at) <= apartTime {
			regions[region] = true
		}
	}
	if len(regions) == 0 {
		return nil
	}
	return func(address string) bool { return regions[l.options.Topology.RegionOf(address)] }
}
