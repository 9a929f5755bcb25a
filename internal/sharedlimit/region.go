package sharedlimit

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/presence"
)

// partitionTTL is how long a region counts as partitioned after one of its daemons reported hearing none of this
// region. Each of them asks an unresponsive home again within a second.
const partitionTTL = 3 * time.Second

// maxAnswerTimeout bounds the wait for an answer from another region: a request that waits for the home and for
// its substitute must have time left to be served. Answers from 20 ms away take a tenth of it.
const maxAnswerTimeout = 400 * time.Millisecond

// timing returns the retry interval and the timeout for a question to a daemon of a region. For other regions both
// are derived from the measured response time.
func (l *Limiter) timing(region identity.Region) (repeat, answer time.Duration) {
	mean, known := l.roundTrips.Mean(region)
	if !known || region == l.options.Topology.RegionOf(l.self) {
		return retryInterval, answerTimeout
	}
	mean = min(mean, maxAnswerTimeout/answerFactor)
	return max(time.Duration(retryFactor*float64(mean)), retryInterval), max(answerFactor*mean, answerTimeout)
}

// isPartitioned reports whether this daemon hears others but none of the given region any more, so that its
// datagrams may arrive there but no answer returns. A daemon that has just started may not have heard the region
// yet, which does not count.
func (l *Limiter) isPartitioned(now time.Time, region identity.Region) bool {
	own := l.options.Topology.RegionOf(l.self)
	if own == "" || region == "" || own == region {
		return false
	}
	anyone, fromRegion := l.recentlyHeard(now, region)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if fromRegion {
		l.seenRegions[region] = true
	}
	return anyone && !fromRegion && (l.seenRegions[region] || now.Sub(l.startedAt) > presence.Window(l.options.Count()))
}

// recentlyHeard reports whether any other daemon was heard recently, and whether any of the given region was.
func (l *Limiter) recentlyHeard(now time.Time, region identity.Region) (anyone, fromRegion bool) {
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

// recordPartition records whether the sender's region reports that it hears none of this region.
func (l *Limiter) recordPartition(from string, apart bool) {
	region := l.options.Topology.RegionOf(from)
	if region == "" {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if apart {
		l.partitionedAt[region] = l.options.Now()
	}
}

// standing returns the position from which this daemon grants. A partition may affect one direction only, so that
// both the home and its substitute may hear all other daemons. The home therefore excludes regions that do not
// hear it, and a substitute that hears the home grants no more than the share of its own region.
func (l *Limiter) standing(now time.Time, home string) quota.Role {
	daemons := l.options.Count()
	if home == l.self {
		return quota.Role{Home: true, Share: l.options.Presence.HomeShare(now, daemons, l.partitionedFilter(now))}
	}
	maxShare := 1.0
	if l.options.Topology.RegionOf(l.self) != l.options.Topology.RegionOf(home) {
		maxShare = presence.ShareOf(len(l.options.Topology.Near(l.self))+1, daemons)
	}
	return quota.Role{
		Share:          l.options.Presence.SubstituteShare(now, daemons, home, maxShare),
		HomeLastSeenAt: l.options.Presence.HeardAt(home),
	}
}

// partitionedFilter returns a function that reports whether a daemon is in a region that does not hear this one,
// or nil if there is no such region.
func (l *Limiter) partitionedFilter(now time.Time) func(address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	regions := map[identity.Region]bool{}
	for region, at := range l.partitionedAt {
		if now.Sub(at) <= partitionTTL {
			regions[region] = true
		}
	}
	if len(regions) == 0 {
		return nil
	}
	return func(address string) bool { return regions[l.options.Topology.RegionOf(address)] }
}
