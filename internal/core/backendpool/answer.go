package backendpool

import "time"

// Admission is how a back end received a request, by the head of its answer.
type Admission int

// The receptions.
const (
	// AdmissionUnknown is neither of the others, as with other weights than were asked for.
	AdmissionUnknown Admission = iota
	// AdmissionAccepted: it took the request, whatever became of it.
	AdmissionAccepted
	// AdmissionRefused: it turned the request away, without running it.
	AdmissionRefused
)

// ResponseChanges is what the head of an answer changed of what is believed of its back end.
type ResponseChanges struct {
	// NoticeIsNew is set where what the back end says of itself is news.
	NoticeIsNew bool
	// BecameRefusing is set where it gets no requests from now on while others will do, since it refuses them.
	BecameRefusing bool
}

// RecordResponseHeader takes in the head of an answer: what the back end says of itself, and how it received the request.
func (t *Ticket) RecordResponseHeader(now time.Time, notice Notice, reception Admission) ResponseChanges {
	defer t.pool.freed()
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	var learnt ResponseChanges
	if !notice.IsEmpty() || t.pool.endsLimit(t.Backend.ID, notice) {
		learnt.NoticeIsNew = t.pool.takeNotice(now, t.Backend.ID, notice, t.pickedAt)
	}
	t.endTrial(now, reception == AdmissionAccepted)
	switch {
	case reception == AdmissionAccepted:
		t.took()
	case reception == AdmissionRefused && notice.RetryAfter == 0: // with a time it backs off
		learnt.BecameRefusing = t.refused(now)
		if learnt.BecameRefusing {
			t.pool.noteFinding(Finding{Key: t.entry.key, Refusing: true})
		}
	}
	return learnt
}

// StillValid tells whether the back end still may get the request that was sent for: while a connection was made it may
// have said that it drains, wants none, or takes no more than so many.
func (t *Ticket) StillValid(now time.Time) bool {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	said := t.pool.said[t.Backend.ID]
	return !said.drains() && !said.backsOff(now) && t.holdsGrant(now, said)
}
