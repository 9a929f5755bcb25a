package streamorigin

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// answerTimeout is how long answers are waited for, and repeatInterval how often a question is sent again meanwhile.
	answerTimeout  = 300 * time.Millisecond
	repeatInterval = 30 * time.Millisecond
	// singleTimeout is how long answers are waited for if this daemon has seen a single version: another one may have seen a
	// second one a moment earlier.
	singleTimeout = 75 * time.Millisecond
	// answersPerDaemon is how many answers of each daemon are kept until they are read: repeated questions have several, each with
	// evidence.
	answersPerDaemon = 8
)

// Found is what is known of the beginning of a stream.
type Found struct {
	// Known is set if Version must have begun the stream.
	Known   bool
	Version identity.SoftwareVersion
	// From is the address of the daemon that remembers the stream. It is empty if none does, but no other version than Version
	// was listed lately.
	From string
	// Origin is the beginning as it is remembered; zero if no daemon remembers the stream.
	Origin streamorigin.Origin
	// Doubt is why it is not known; empty if Known is set.
	Doubt Doubt
	// Asked and Answered are how many other daemons were asked, and how many of these answered.
	Asked, Answered int
}

// Find returns which version began a stream. It waits for other daemons for up to answerTimeout if this one doesn't know. A
// stream without a request ID can't be looked up.
func (r *Registry) Find(ctx context.Context, stream streamorigin.Stream) Found {
	found := r.find(ctx, stream)
	if found.Known && found.From != "" {
		found.Doubt = r.doubt(ctx, stream.Service, found.Origin)
		found.Known = found.Doubt == ""
	}
	return found
}

// Outdated reports whether another version than the recorded one may have begun a stream, because the back end had restarted and its
// row told the version of before. It asks the back end if that must be known. Where a service has a single version, a back end that
// can't be asked is taken for the listed one.
func (r *Registry) Outdated(ctx context.Context, service identity.ServiceName, origin streamorigin.Origin) bool {
	return r.doubt(ctx, service, origin) != ""
}

// doubt returns why another version than the recorded one may have begun a stream; empty if none may.
func (r *Registry) doubt(ctx context.Context, service identity.ServiceName, origin streamorigin.Origin) Doubt {
	r.mutex.Lock()
	certainty, backend := r.listed.Certainty(origin)
	r.mutex.Unlock()
	if certainty == streamorigin.CertaintyListed {
		certainty = r.confirm(ctx, backend)
	}
	switch {
	case certainty == streamorigin.CertaintyRestarted:
		return DoubtRestarted
	case certainty == streamorigin.CertaintyUnknown && r.mayHaveSeveral(ctx, service):
		return DoubtUnconfirmed
	}
	return ""
}

// mayHaveSeveral reports whether several versions of a service were listed lately, as far as this daemon can know. One that was out of
// contact asks the store.
func (r *Registry) mayHaveSeveral(ctx context.Context, service identity.ServiceName) bool {
	if r.lostContact() && !r.verifyWithin(ctx, r.options.Now()) {
		return true
	}
	return r.Several(service)
}

func (r *Registry) confirm(ctx context.Context, backend backendpool.Backend) streamorigin.Certainty {
	if r.options.Confirm == nil {
		return streamorigin.CertaintySure
	}
	return r.options.Confirm(ctx, backend)
}

func (r *Registry) find(ctx context.Context, stream streamorigin.Stream) Found {
	found := r.findAmongDaemons(ctx, stream)
	if found.Known || !r.recallArchived(ctx) {
		return found
	}
	if recalled, _ := r.lookup(stream.Key(), stream.Service); recalled.Known {
		recalled.Asked, recalled.Answered = found.Asked, found.Answered
		return recalled
	}
	return found
}

// findAmongDaemons finds a stream by what daemons remember, and by which versions were listed.
func (r *Registry) findAmongDaemons(ctx context.Context, stream streamorigin.Stream) Found {
	since := r.options.Now()
	found, own := r.lookup(stream.Key(), stream.Service)
	if found.Known {
		return found
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := singleTimeout
	verified := make(chan bool, 1)
	if own.several {
		timeout = answerTimeout
		verified <- false
	} else {
		go func() { verified <- r.verifyWithin(ctx, since) }()
	}
	found, others := r.ask(ctx, stream, timeout)
	if found.Known || found.Doubt != "" {
		return found
	}
	concluded := r.conclude(stream.Service, others, <-verified, found)
	concluded.Asked, concluded.Answered = found.Asked, found.Answered
	return concluded
}

// recallArchived records the streams that the store keeps, and reports whether that was done within answerTimeout.
func (r *Registry) recallArchived(ctx context.Context) bool {
	archive := r.archive()
	if archive == nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return archive.Recall(bounded) == nil
}

// verifyWithin verifies the list as of a time after since, and reports whether that was done within answerTimeout.
func (r *Registry) verifyWithin(ctx context.Context, since time.Time) bool {
	bounded, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return r.verify(bounded, since) == nil
}

// conclude returns the only version that may have begun a stream which no daemon in reach remembers, from what others have told in
// their answers. The stream began before these. Verified is set if the store was asked since then.
func (r *Registry) conclude(service identity.ServiceName, others evidence, verified bool, asked Found) Found {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	own, answered := r.evidence(service), r.enough(asked.Asked, asked.Answered)
	own.current = verified || (own.current && answered)
	others.current = others.current && (verified || answered)
	return own.with(others).found()
}

// lookup returns what this daemon remembers of a stream, and what it knows of the versions of the service.
func (r *Registry) lookup(key streamorigin.Key, service identity.ServiceName) (Found, evidence) {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tables := []*streamorigin.Table{r.told}
	if own := r.own[service]; own != nil {
		tables = append(tables, own)
	}
	var found Found
	for _, table := range tables {
		if origin, known := table.Get(now, key); known {
			found = Found{Known: true, Version: origin.Version, From: r.self, Origin: origin}
		}
	}
	return found, r.evidence(service)
}

// ask asks other daemons about a stream. It returns once one knows it, all have answered, or the time has passed. Those that
// did not respond lately are asked too, but not waited for longer than singleTimeout.
func (r *Registry) ask(ctx context.Context, stream streamorigin.Stream, atMost time.Duration) (Found, evidence) {
	inquiry := r.newInquiry(stream)
	answers := r.questions.Await(inquiry.question.Number, answersPerDaemon*len(inquiry.waiting))
	defer r.questions.Forget(inquiry.question.Number)
	inquiry.send()
	repeat, brief, timeout := time.NewTicker(repeatInterval), time.NewTimer(singleTimeout), time.NewTimer(atMost)
	defer repeat.Stop()
	defer brief.Stop()
	defer timeout.Stop()
	for len(inquiry.waiting) > 0 {
		select {
		case got := <-answers:
			inquiry.receive(got)
		case <-repeat.C:
			inquiry.send()
		case <-brief.C:
			inquiry.dropUnresponsive()
		case <-timeout.C:
			inquiry.timeOut()
		case <-ctx.Done():
			return inquiry.result()
		}
	}
	return inquiry.result()
}

func (r *Registry) receiveQuestion(from string, asked questionMessage) {
	found, own := r.lookup(streamorigin.Key(asked.Key), identity.ServiceName(asked.Service))
	if !found.Known && !own.several && !own.complete && r.startedWithinWindow() {
		return
	}
	peerlink.Tell(r.options.Link, from, peerlink.KindStreamEvidence, &evidenceMessage{
		Number: asked.Number, Several: own.several, Complete: own.complete && own.current, Single: own.single, Listed: own.listed, Only: string(own.only),
	})
	peerlink.Tell(r.options.Link, from, peerlink.KindStreamAnswer, &answerMessage{
		Number: asked.Number, Known: found.Known, Version: string(found.Version), Several: own.several,
		Backend: found.Origin.Backend, AgeMs: r.ageOf(found),
	})
}

// startedWithinWindow reports whether others may not have noticed that an earlier daemon at this address has ended. An answer would count
// as one of a daemon that knows which versions were listed since.
func (r *Registry) startedWithinWindow() bool {
	return r.options.Now().Sub(r.startedAt) <= contactWindow(len(r.options.Topology.Near(r.self))+1)
}

// ageOf returns how long ago a known stream began, in milliseconds.
func (r *Registry) ageOf(found Found) uint32 {
	if !found.Known {
		return 0
	}
	return uint32(max(r.options.Now().Sub(found.Origin.At), 0).Milliseconds())
}

func (r *Registry) receiveAnswer(from string, got answerMessage) {
	r.questions.Answer(got.Number, answer{answerMessage: got, from: from})
}

func (r *Registry) receiveEvidence(from string, got evidenceMessage) {
	r.questions.Answer(got.Number, answer{evidence: &got, from: from})
}
