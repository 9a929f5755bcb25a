package backendpool

import "time"

// Parameters of refusal detection.
const (
	// refusalThreshold is the number of consecutive refusals from which a back end counts as refusing. A single one
	// may come from a back end that was briefly full.
	refusalThreshold = 2
	// initialRefusalHold is how long a back end gets no requests after that. The time doubles with each refused
	// trial.
	initialRefusalHold = 100 * time.Millisecond
	// maxDoublings is enough to reach maxRefusalHold.
	maxDoublings = 4
	// maxRefusalHold allows a recovered back end to regain its share of requests within two seconds.
	maxRefusalHold = time.Second
	// explainingUtilization is the share of a back end's slots or memory in use that explains a refusal: the load
	// of other daemons is known with a delay.
	explainingUtilization = 0.5
	// trialShare is the share of requests, and trialBurst the number beyond that, that may be refused in trials of
	// refusing back ends. This leaves half of the usual retry budget to other failures. When hundreds of back ends
	// refuse and a daemon sends only a few requests a second, most back ends are due for a trial at any time.
	trialShare = 0.1
	trialBurst = 4
)

// refusals tracks a back end's refusals of this daemon's requests.
//
// A back end that refuses every request has none in flight and looks idle. Without this tracking it would attract
// most first attempts, and the retry budget would be used up within a second.
type refusals struct {
	// consecutive counts the refusals not explained by load since the back end last accepted a request.
	consecutive int
	// until is when the next trial is due.
	until time.Time
	// trial is the trial request in flight; nil if none.
	trial *Ticket
}

// refusing reports whether the back end counts as refusing.
func (r *refusals) refusing() bool { return r.consecutive >= refusalThreshold }

// trialDue reports whether a request may test whether a refusing back end accepts requests again.
func (r *refusals) trialDue(now time.Time) bool { return r.trial == nil && !now.Before(r.until) }

// refuses reports whether the back end is to be used only as a last resort. The retry of a refused request is never
// a trial: it is sent where it is most likely to be accepted. The caller holds the mutex.
func (p *Pool) refuses(now time.Time, found *entry, again bool) bool {
	if again {
		return found.refusals.consecutive > 0
	}
	return found.refusals.refusing() && (p.refusalAllowance < 1 || !found.refusals.trialDue(now))
}

// noteTrial replenishes the allowance for a picked request, and records whether the request is the trial of a
// refusing back end. The caller holds the mutex.
func (p *Pool) noteTrial(picked *entry, ticket *Ticket) {
	p.refusalAllowance = min(p.refusalAllowance+trialShare, trialBurst)
	if picked.refusals.refusing() && picked.refusals.trial == nil {
		picked.refusals.trial = ticket
		p.refusalAllowance = max(p.refusalAllowance-1, 0)
	}
}

// recordAccepted records that the back end accepted the request. The caller holds the mutex.
func (t *Ticket) recordAccepted() {
	refused := &t.entry.refusals
	if refused.trial == t {
		t.pool.refusalAllowance = min(t.pool.refusalAllowance+1, trialBurst) // only refused trials use up the allowance
		refused.trial = nil
	}
	refused.consecutive = 0
}

// refused records that the back end refused the request. It returns true if the back end counts as refusing from
// then on. The caller holds the mutex.
func (t *Ticket) refused(now time.Time) bool {
	refused := &t.entry.refusals
	t.endRefusalTrial()
	if t.explainsRefusal() {
		return false
	}
	refused.consecutive++
	if !refused.refusing() {
		return false
	}
	doubled := initialRefusalHold << min(refused.consecutive-refusalThreshold, maxDoublings)
	refused.until = now.Add(min(doubled, maxRefusalHold))
	return refused.consecutive == refusalThreshold
}

// endRefusalTrial ends the trial if this request is it. The caller holds the mutex.
func (t *Ticket) endRefusalTrial() {
	if t.entry.refusals.trial == t {
		t.entry.refusals.trial = nil
	}
}

// explainsRefusal reports whether the back end's other load explains that it refused the request.
func (t *Ticket) explainsRefusal() bool {
	otherInFlight := float64(t.entry.inFlight-1) + t.entry.others.InFlight
	slots := float64(t.entry.backend.Slots)
	if slots == 0 && otherInFlight > 0 {
		return true // its capacity is unknown
	}
	if slots > 0 && otherInFlight >= explainingUtilization*slots {
		return true
	}
	held := float64(t.entry.tokens-t.tokens) + t.entry.others.Tokens
	return t.maxTokens > 0 && held >= explainingUtilization*t.maxTokens
}
