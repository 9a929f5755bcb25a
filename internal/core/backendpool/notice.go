package backendpool

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Notice is what a back end says of itself in an answer, beside the answer. The zero value says nothing.
type Notice struct {
	// Draining: it is about to end.
	Draining bool
	// RetryAfter is for how long it wants no requests from this daemon.
	RetryAfter time.Duration
	// Limit is of the requests that it takes from all daemons together.
	Limit LimitNotice
}

// IsEmpty tells whether nothing is said.
func (n Notice) IsEmpty() bool { return !n.Draining && n.RetryAfter == 0 && n.Limit.Kind != LimitNamed }

// maximumUnlistedSaid bounds the lives of which something is remembered though they are not listed: half a megabyte at
// some hundred bytes each, and more than end in three days of 1,200 replaced back ends.
const maximumUnlistedSaid = 4096

// said is what one life of a back end has said of itself to this daemon.
//
// It is kept beside the list and by the life, since a row can be outdated: it stays as it was while the store is silent,
// comes late, and is gone for a while where a heartbeat is lost.
type said struct {
	// drainingFrom is when it first said that it drains; zero is never. It is never taken back: a life that drains ends.
	drainingFrom time.Time
	// backoff is of the times for which it wants no requests.
	backoff backoff
	// limit is of the requests that it takes.
	limit knownLimit
	// noticedAt is when something was last said.
	noticedAt time.Time
}

// RecordNotice takes in what a back end says of itself. It returns true where that is news.
func (p *Pool) RecordNotice(now time.Time, id identity.BackendID, notice Notice) bool {
	if notice.IsEmpty() {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.takeNotice(now, id, notice, now)
}

// takeNotice takes in what a back end says of itself in the answer to a request that was sent at a time, and leaves it to
// be told that it drains. The caller holds the mutex.
func (p *Pool) takeNotice(now time.Time, id identity.BackendID, notice Notice, sentAt time.Time) bool {
	said := p.saidBy(id, now)
	drained := said.drains()
	news := said.take(now, notice)
	limitNews := said.limit.answered(now, notice.Limit, sentAt)
	if limitNews || notice.Limit.Kind == LimitNamed {
		p.leaveLimitToTell(now, id, limitNews)
	}
	if found := p.byID[id]; found != nil && !drained && said.drains() {
		p.noteFinding(Finding{Key: found.key, Draining: true})
	}
	return news || limitNews
}

// take returns true where a notice is news.
func (s *said) take(now time.Time, notice Notice) bool {
	news := notice.Draining && !s.drains()
	if news {
		s.drainingFrom = now
	}
	if notice.RetryAfter > 0 {
		news = s.backoff.extend(now, notice.RetryAfter) || news
	}
	return news
}

// drains tells whether the life has said that it drains. It is false of nil.
func (s *said) drains() bool { return s != nil && !s.drainingFrom.IsZero() }

// backsOff tells whether the life has asked for no requests now. It is false of nil.
func (s *said) backsOff(now time.Time) bool { return s != nil && s.backoff.active(now) }

// saidBy returns what a life has said, to be added to. The caller holds the mutex.
func (p *Pool) saidBy(id identity.BackendID, now time.Time) *said {
	known := p.said[id]
	if known == nil {
		known = &said{}
		p.said[id] = known
		if found := p.byID[id]; found != nil {
			found.said = known
		}
	}
	known.noticedAt = now
	p.forgetSaid()
	return known
}

// saidByNew returns what a back end has said that wasn't listed under its ID; nil is nothing. Where its start was told
// once and isn't now, or the other way round, it may be the same life under another ID: daemons of builds that know no
// lives tell lists without starts. What was said goes on holding then, unless the life started after it. The caller
// holds the mutex.
func (p *Pool) saidByNew(added *entry) *said {
	backend := added.backend
	unknown := identity.NewBackendID(backend.ID.Name(), 0)
	before := p.byNameKey[added.nameKey] // in the list before this one, where it had another ID
	found := p.said[backend.ID]
	switch {
	case before == nil, before.backend.Address != backend.Address:
		if found == nil && p.said[unknown].mayBeOf(backend.ID) {
			found = p.said[unknown]
		}
	case backend.ID == unknown:
		found = before.said
	case found != nil:
	case before.backend.ID == unknown:
		if before.said.mayBeOf(backend.ID) {
			found = before.said
		}
	default:
		found = before.said.heardEarly(backend.ID)
	}
	if found == nil {
		delete(p.said, backend.ID)
		return nil
	}
	p.said[backend.ID] = found
	return found
}

// heardEarly is what a life said before it was listed, and was taken for the word of the life before: all that was said
// once it had started; nil is nothing. Where it drains, its start counts against when that was first said: a life that
// drains does so for seconds before it ends, so that clocks that differ by less don't take the next life out for good.
func (s *said) heardEarly(id identity.BackendID) *said {
	if s == nil {
		return nil
	}
	startedAt := int64(id.Incarnation())
	heard := &said{noticedAt: s.noticedAt}
	if s.drains() && startedAt <= s.drainingFrom.UnixMilli() {
		heard.drainingFrom = s.drainingFrom
	}
	if s.backoff.recovering && startedAt <= s.backoff.askedAt.UnixMilli() {
		heard.backoff = backoff{until: s.backoff.until, askedAt: s.backoff.askedAt, recovering: true}
	}
	if startedAt <= s.limit.changedAt.UnixMilli() {
		heard.limit = s.limit
	}
	if !heard.drains() && !heard.backoff.recovering && heard.limit.Version == 0 {
		return nil
	}
	return heard
}

// mayBeOf tells whether a life had started when something was last said. It is false of nil.
func (s *said) mayBeOf(id identity.BackendID) bool {
	return s != nil && int64(id.Incarnation()) <= s.noticedAt.UnixMilli()
}

// forgetSaid forgets the lives that said something longest ago, where there are too many that are not listed. The
// caller holds the mutex.
func (p *Pool) forgetSaid() {
	for len(p.said) > len(p.byID)+maximumUnlistedSaid {
		var oldest identity.BackendID
		for id, known := range p.said {
			if p.byID[id] == nil && (oldest == "" || known.noticedAt.Before(p.said[oldest].noticedAt)) {
				oldest = id
			}
		}
		delete(p.said, oldest)
	}
}

// isDraining tells whether the back end drains, by its row or its own word.
func (e *entry) isDraining() bool {
	return e.backend.Draining || e.said.drains()
}

// described is the back end as its row describes it, and as draining where it says so itself.
func (e *entry) described() Backend {
	described := e.backend
	described.Draining = e.isDraining()
	return described
}

// PinDraining keeps all listed back ends that drain by their rows draining for the rest of their lives, whatever their rows
// say from now on.
func (p *Pool) PinDraining(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for id, found := range p.byID {
		if found.backend.Draining {
			p.saidBy(id, now).take(now, Notice{Draining: true})
		}
	}
}
