package fault

import (
	"time"

	"github.com/lotusward/lotusward/internal/lab/link"
)

// Bounds of drawn faults of links.
const (
	mostDelay   = 150 * time.Millisecond
	leastLoss   = 20
	lossPercent = 100
)

// applyToBackendLink disturbs what lies between all daemons and a back end. It
// excuses nothing towards callers, who are not behind the link.
func (i *injector) applyToBackendLink(injection Injection) {
	number := injection.Target % len(i.deployment.Backends)
	i.backendLinks[number].Lock()
	defer i.backendLinks[number].Unlock()
	disturb(i.deployment.Backends[number].Link, injection)
}

// applyToPeerLink disturbs what comes to a daemon from the others. What it sends
// itself goes out over their links and is not disturbed.
func (i *injector) applyToPeerLink(injection Injection) {
	number := injection.Target % len(i.deployment.Daemons)
	i.peerLinks[number].Lock()
	defer i.peerLinks[number].Unlock()
	disturb(i.deployment.Daemons[number].PeerLink, injection)
}

// peersApart cuts all daemons from each other.
func (i *injector) peersApart(injection Injection) {
	for number := range i.peerLinks {
		i.peerLinks[number].Lock()
		defer i.peerLinks[number].Unlock()
	}
	defer i.oracle.noteApart(injection.Duration)()
	for _, daemon := range i.deployment.Daemons {
		daemon.PeerLink.Set(link.State{Cut: true})
	}
	time.Sleep(injection.Duration)
	for _, daemon := range i.deployment.Daemons {
		daemon.PeerLink.Set(link.State{})
	}
}

// disturb changes a link for the time of the injection.
func disturb(disturbed *link.Link, injection Injection) {
	disturbed.Set(linkState(injection))
	time.Sleep(injection.Duration)
	disturbed.Set(link.State{})
}

func linkState(injection Injection) link.State {
	switch injection.Kind {
	case BackendLinkCut, PeerLinkCut:
		return link.State{Cut: true}
	case BackendLinkSilent, PeerLinkSilent:
		return link.State{Silent: true}
	case PeerLinkLoss:
		percent := leastLoss + injection.Draw%(lossPercent-leastLoss)
		return link.State{Loss: float64(percent) / lossPercent}
	default:
		return link.State{Delay: time.Duration(injection.Draw % uint64(mostDelay))}
	}
}

// noteApart notes that the daemons are cut from each other, for a planned time
// and until the returned function is called.
func (o *oracle) noteApart(planned time.Duration) func() { return o.note(&o.apart, planned) }

// noteTableDown notes in the same way that the table service does not answer.
func (o *oracle) noteTableDown(planned time.Duration) func() { return o.note(&o.tableDown, planned) }

func (o *oracle) note(spans *[]span, planned time.Duration) func() {
	began := time.Now()
	add := func(to time.Time) {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		*spans = append(*spans, span{from: began, to: to})
	}
	add(began.Add(planned))
	return func() { add(time.Now()) }
}

// cutFromRevisions tells whether, in a time, daemons could learn of a revision
// neither from each other nor from the table, or were so shortly before that they
// may still be about to. One of the two alone is no excuse. The mutex is held.
func (o *oracle) cutFromRevisions(from, to time.Time) bool {
	for _, apart := range o.apart {
		for _, down := range o.tableDown {
			began, ended := later(apart.from, down.from), earlier(apart.to, down.to)
			if began.Before(ended) && began.Before(to) && from.Before(ended.Add(inForceWithin)) {
				return true
			}
		}
	}
	return false
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}
