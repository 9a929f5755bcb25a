package backendpool

import "time"

// Admission is how a back end responded to a request, as told from the response header.
type Admission int

const (
	// AdmissionUnknown is neither of the others, such as a response with other model weights than were requested.
	AdmissionUnknown Admission = iota
	// AdmissionAccepted means that the back end accepted the request, whatever its outcome.
	AdmissionAccepted
	// AdmissionRefused means that the back end rejected the request without running it.
	AdmissionRefused
)

// ResponseChanges reports what a response header changed in the pool's state of the back end.
type ResponseChanges struct {
	// NoticeIsNew is set if the back end's notice differs from what was known.
	NoticeIsNew bool
	// BecameRefusing is set if the back end is from now on used only as a last resort, because it refuses requests.
	BecameRefusing bool
}

// RecordResponseHeader processes a response header: the notice that the back end attached and whether it accepted
// the request.
func (t *Ticket) RecordResponseHeader(now time.Time, notice Notice, admission Admission) ResponseChanges {
	defer t.pool.onCapacityFreed()
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	var changes ResponseChanges
	if !notice.IsEmpty() || t.pool.mayClearLimit(t.Backend.ID, notice) {
		changes.NoticeIsNew = t.pool.takeNotice(now, t.Backend.ID, notice, t.pickedAt)
	}
	t.endTrial(now, admission == AdmissionAccepted)
	switch {
	case admission == AdmissionAccepted:
		t.recordAccepted()
	case admission == AdmissionRefused && notice.RetryAfter == 0: // with a retry time, the backoff applies instead
		changes.BecameRefusing = t.refused(now)
		if changes.BecameRefusing {
			t.pool.queueFinding(Finding{Key: t.entry.key, Refusing: true})
		}
	}
	return changes
}

// StillValid reports whether the picked back end may still be sent the request. While a connection was being made,
// the back end may have announced that it is draining, asked to back off or stated a request limit.
func (t *Ticket) StillValid(now time.Time) bool {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	notices := t.pool.notices[t.Backend.ID]
	return !notices.drains() && !notices.backsOff(now) && t.holdsGrant(now, notices)
}
