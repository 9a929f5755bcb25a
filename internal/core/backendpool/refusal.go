package backendpool

import "time"

// When back ends count as refusing.
const (
	// refusalsInARow make a back end refuse. One may be of a back end that was full for a moment.
	refusalsInARow = 2
	// firstRefusalTime is how long it gets nothing after them. The time doubles with each trial that is refused.
	firstRefusalTime = 100 * time.Millisecond
	// mostDoublings is enough to reach longestRefusalTime.
	mostDoublings = 4
	// longestRefusalTime leaves a back end that is well again its share within two seconds.
	longestRefusalTime = time.Second
	// explainingShare of a back end's places or memory in use explains a refusal: what others have under way there is
	// known with a delay.
	explainingShare = 0.5
	// trialShare of the requests, and trialBurst more, may be refused at back ends that are tried again. It leaves half
	// of the usual budget of second sendings to other failures. Where hundreds of back ends refuse and a daemon sends a
	// few requests a second, most back ends are due to be tried at any moment.
	trialShare = 0.1
	trialBurst = 4
)

// refusals are what a back end refused of this daemon's requests.
//
// A back end that refuses everything has nothing under way, and looks free: it would draw most first sendings, and the
// budget of second ones would be spent within a second.
type refusals struct {
	// inARow counts those that its load doesn't explain, since it last took a request.
	inARow int
	// until is when it is tried again.
	until time.Time
	// trial is the request that tries it; nil is none.
	trial *Ticket
}

// refusing tells whether the back end refuses requests, as far as is known.
func (r *refusals) refusing() bool { return r.inARow >= refusalsInARow }

// mayTry tells whether a request may find out whether a refusing back end takes requests again.
func (r *refusals) mayTry(now time.Time) bool { return r.trial == nil && !now.Before(r.until) }

// refuses tells whether the back end is only to be used where no other will do. A request that was refused already
// tries none: its second sending is spent where it is most likely taken. The caller holds the mutex.
func (p *Pool) refuses(now time.Time, found *entry, again bool) bool {
	if again {
		return found.refusals.inARow > 0
	}
	return found.refusals.refusing() && (p.refusalAllowance < 1 || !found.refusals.mayTry(now))
}

// noteTrial counts a picked request, and notes whether it tries a refusing back end. The caller holds the mutex.
func (p *Pool) noteTrial(picked *entry, ticket *Ticket) {
	p.refusalAllowance = min(p.refusalAllowance+trialShare, trialBurst)
	if picked.refusals.refusing() && picked.refusals.trial == nil {
		picked.refusals.trial = ticket
		p.refusalAllowance = max(p.refusalAllowance-1, 0)
	}
}

// took notes that the back end took a request. The caller holds the mutex.
func (t *Ticket) took() {
	refused := &t.entry.refusals
	if refused.trial == t {
		t.pool.refusalAllowance = min(t.pool.refusalAllowance+1, trialBurst) // only those that are refused cost
		refused.trial = nil
	}
	refused.inARow = 0
}

// refused notes that the back end refused the request. It returns true where the back end counts as refusing since
// then. The caller holds the mutex.
func (t *Ticket) refused(now time.Time) bool {
	refused := &t.entry.refusals
	t.endRefusalTrial()
	if t.explainsRefusal() {
		return false
	}
	refused.inARow++
	if !refused.refusing() {
		return false
	}
	doubled := firstRefusalTime << min(refused.inARow-refusalsInARow, mostDoublings)
	refused.until = now.Add(min(doubled, longestRefusalTime))
	return refused.inARow == refusalsInARow
}

// endRefusalTrial ends the trial that the request was, if it was one. The caller holds the mutex.
func (t *Ticket) endRefusalTrial() {
	if t.entry.refusals.trial == t {
		t.entry.refusals.trial = nil
	}
}

// explainsRefusal tells whether what is under way at the back end, beside the request, explains that it refused it.
func (t *Ticket) explainsRefusal() bool {
	under := float64(t.entry.inFlight-1) + t.entry.others.InFlight
	slots := float64(t.entry.backend.Slots)
	if slots == 0 && under > 0 {
		return true // how many it takes isn't known
	}
	if slots > 0 && under >= explainingShare*slots {
		return true
	}
	held := float64(t.entry.tokens-t.tokens) + t.entry.others.Tokens
	return t.mostTokens > 0 && held >= explainingShare*t.mostTokens
}
