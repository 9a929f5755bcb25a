package streamorigin

import (
	"maps"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// inquiry is a question to other daemons about one stream.
type inquiry struct {
	registry *Registry
	question *questionMessage
	// waiting are the daemons that have not answered, evident those whose evidence has arrived, and early those that have answered
	// before it.
	waiting, evident, early map[string]bool
	found                   Found
	// others is what the daemons that answered know together.
	others evidence
	replies
}

// replies are the daemons that were asked, those that answered, and those that know all versions that were listed lately.
type replies struct {
	asked              []string
	answered, complete map[string]bool
}

func (r *Registry) newInquiry(stream streamorigin.Stream) *inquiry {
	key := stream.Key()
	made := &inquiry{
		registry: r, waiting: map[string]bool{}, evident: map[string]bool{}, early: map[string]bool{},
		replies:  replies{answered: map[string]bool{}, complete: map[string]bool{}},
		question: &questionMessage{Number: r.questions.Next(), Key: uint64(key), Service: string(stream.Service)},
	}
	made.asked = r.asked(key)
	for _, address := range made.asked {
		made.waiting[address] = true
	}
	return made
}

// result returns what was found, what the daemons that answered know, and which these are.
func (i *inquiry) result() (Found, evidence, replies) {
	found := i.found
	if len(i.asked) > 0 && len(i.answered) == 0 && i.registry.startedUnrecorded() {
		found = Found{Doubt: DoubtAlone}
	}
	found.Asked, found.Answered = len(i.asked), len(i.answered)
	return found, i.others, i.replies
}

// startedUnrecorded reports whether this daemon has just started and found no record: daemons of earlier builds may have seen
// another version a moment before.
func (r *Registry) startedUnrecorded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.earlier == EarlierUnrecorded && r.options.Now().Sub(r.startedAt) < publishTime
}

// send asks all daemons that have not answered.
func (i *inquiry) send() {
	for address := range i.waiting {
		peerlink.Tell(i.registry.options.Link, address, peerlink.KindStreamQuestion, i.question)
	}
}

// receive adds an answer. One that knows the stream ends the inquiry.
func (i *inquiry) receive(got answer) {
	if told := got.evidence; told != nil {
		i.others = i.others.with(told.evidence())
		i.evident[got.from] = true
		if told.Complete {
			i.complete[got.from] = true
		}
		if i.early[got.from] {
			delete(i.waiting, got.from)
		}
		return
	}
	// An answer may overtake the evidence that was sent before it. Earlier builds send none: their second answer is enough.
	if i.evident[got.from] || i.early[got.from] {
		delete(i.waiting, got.from)
	}
	i.early[got.from] = true
	i.answered[got.from] = true
	i.others = i.others.with(evidence{several: got.Several})
	if got.Known {
		origin := streamorigin.Origin{Version: identity.SoftwareVersion(got.Version), Backend: got.Backend}
		origin.At = i.registry.options.Now().Add(-time.Duration(got.AgeMs) * time.Millisecond)
		i.found = Found{Known: true, Version: origin.Version, From: got.from, Origin: origin}
		clear(i.waiting)
	}
}

// dropUnresponsive ends the wait for daemons that did not respond lately either.
func (i *inquiry) dropUnresponsive() {
	now := i.registry.options.Now()
	maps.DeleteFunc(i.waiting, func(address string, _ bool) bool { return i.registry.silence.Contains(address, now) })
}

// timeOut ends the wait for all.
func (i *inquiry) timeOut() {
	now := i.registry.options.Now()
	for address := range i.waiting {
		i.registry.silence.Add(address, now)
	}
	clear(i.waiting)
}
