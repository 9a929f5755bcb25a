// Package lease decides when a daemon may act as the single holder of a role. It performs no I/O
// and reads no clock. The lease is one row of the platform's table, and only conditional commits
// change it.
//
// Clocks of different daemons are never compared. A holder counts from when it sent the commit
// that was confirmed, and stops before the lease's duration is over. Any other daemon counts the
// whole duration from when it first saw the row's current version, which is after the holder's
// commit took effect and so after it was sent. The holder's safety margin covers clocks that run
// at different rates.
//
// A holder that was paused may still send effects after its lease expired. Each effect therefore
// carries the grant's fencing token, and receivers reject tokens older than the newest they have
// seen (type Fence).
package lease

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Machine is one daemon's state machine for one lease. All times are by the daemon's own monotonic
// clock.
type Machine struct {
	settings Settings
	// wanted is false while the daemon doesn't want the lease.
	wanted bool
	// acting is set while the holder wants to act, and actedAt is when it last did.
	acting  bool
	actedAt time.Time
	// actFrom is when a new holder may first act. predecessorActed is set if the previous holder may
	// have acted recently.
	actFrom          time.Time
	predecessorActed bool
	grant            Grant
	// renewAt is when the grant is due for renewal.
	renewAt time.Time

	// seen is set once the row has been read. version and record are its newest known state, and
	// seenAt is when that version was first seen.
	seen    bool
	version uint64
	record  Record
	seenAt  time.Time
	// highestToken is the highest token ever seen in the row.
	highestToken identity.FencingToken
	// era is the table's newest known era, and restoredAt is when it last increased; zero is never.
	era        uint64
	restoredAt time.Time
	// stale is set if the row has to be read before the next commit.
	stale bool

	// hasTriedWrite is set once this machine has tried to write the row.
	hasTriedWrite bool
	callInFlight  bool
	// proposed and sentAt describe the commit in flight.
	proposed Record
	sentAt   time.Time
	// pollAt is when to read the row again while another daemon holds the lease.
	pollAt time.Time
	// notBefore is the earliest time of the next call.
	notBefore time.Time
}

// New returns a machine that wants the lease.
func New(settings Settings) *Machine {
	return &Machine{settings: settings, wanted: true, stale: true}
}

// Grant returns the newest grant, which may have expired.
func (m *Machine) Grant() Grant { return m.grant }

// Want sets whether the daemon wants the lease. A holder that no longer wants it stops at once and
// then releases the row.
func (m *Machine) Want(wanted bool) {
	if m.wanted && !wanted {
		m.grant = Grant{}
	}
	m.wanted = wanted
}

// SetActing sets whether the holder wants to act. It may do so from its next commit on, and must
// stop as soon as it is unset.
func (m *Machine) SetActing(acting bool) {
	m.acting = acting
	if !acting {
		m.grant.ActUntil = time.Time{}
	}
}

// RecordAction records when the holder last acted. It must be called before the row is released.
func (m *Machine) RecordAction(at time.Time) {
	if at.After(m.actedAt) {
		m.actedAt = at
	}
}

// FullyReleased reports whether a daemon that doesn't want the lease has nothing left to release.
func (m *Machine) FullyReleased() bool {
	if m.wanted || m.callInFlight {
		return false
	}
	return !m.hasTriedWrite || (!m.stale && !m.heldByUs())
}

// Tick returns the next call to make, or nil. It must be called every RetryInterval.
func (m *Machine) Tick(now time.Time) Action {
	m.observeEra(now)
	if m.callInFlight || now.Before(m.notBefore) {
		return nil
	}
	if !m.wanted && !m.hasTriedWrite {
		return nil // daemons that never tried to write don't load the table
	}
	if m.stale {
		return m.read(now)
	}
	if !m.wanted {
		return m.release(now)
	}
	if m.grant.ValidAt(now) {
		return m.renew(now)
	}
	if m.isFree(now) {
		return m.takeOver(now)
	}
	if !now.Before(m.pollAt) {
		return m.read(now)
	}
	return nil
}

// isFree reports whether no other daemon can consider itself the holder.
func (m *Machine) isFree(now time.Time) bool {
	if m.version == 0 || m.record.Released {
		return true
	}
	if m.settings.SoleIncarnation && m.record.Holder == m.settings.Holder {
		return true
	}
	// Only this machine acts on its own record, and it has no valid grant.
	return m.heldByUs() || now.Sub(m.seenAt) >= m.record.Duration
}

// heldByUs reports whether the row names this incarnation of this daemon.
func (m *Machine) heldByUs() bool {
	return m.version > 0 && !m.record.Released &&
		m.record.Holder == m.settings.Holder && m.record.Incarnation == m.settings.Incarnation
}

// takeOver starts a commit that makes this daemon the holder. A daemon that reacquires its own
// lease keeps its handover wait, since nobody else has acted in between, unless the table was
// restored: the row of another holder may have been lost.
func (m *Machine) takeOver(now time.Time) Action {
	lost := m.lostHolderDelay(now)
	switch {
	case !m.heldByUs():
		m.actFrom = now.Add(max(m.handoverWait(now), lost))
		m.predecessorActed = m.record.Acting
	case lost > 0 && m.actFrom.Before(now.Add(lost)):
		m.actFrom = now.Add(lost)
		m.predecessorActed = true
	}
	return m.commit(now, m.newRecord(now, m.nextToken()))
}

// tokensPerEra is the number of fencing tokens reserved for each era.
const tokensPerEra = 1 << 32

// nextToken returns a token higher than all earlier ones. After a restore the row may lack the
// newest of them, so each era starts a new range.
func (m *Machine) nextToken() identity.FencingToken {
	return max(m.highestToken, identity.FencingToken(m.era*tokensPerEra)) + 1
}

// observeEra notes when the table was restored from a copy. Another daemon may then hold the lease
// without the row showing it.
func (m *Machine) observeEra(now time.Time) {
	if era := m.settings.Era.Era(); era > m.era {
		m.era, m.restoredAt = era, now
	}
}

// lostHolderDelay is the time for which a holder whose row was lost in a restore may still act,
// plus the handover delay.
func (m *Machine) lostHolderDelay(now time.Time) time.Duration {
	if m.restoredAt.IsZero() {
		return 0
	}
	return max(m.settings.actWindow()+m.settings.handoverDelay()-now.Sub(m.restoredAt), 0)
}

// handoverWait is how long a new holder must not act because of its predecessor. An earlier
// incarnation of this daemon counts as this daemon, but may itself have been waiting. The time
// since the row was first seen is deducted, because the predecessor acted before that.
func (m *Machine) handoverWait(now time.Time) time.Duration {
	own := m.record.Holder == m.settings.Holder
	switch {
	case m.version == 0, !m.record.Acting, own && !m.record.Waiting:
		return 0
	case m.record.Released:
		left := min(m.record.HandoverDelayLeft+m.settings.driftMargin(), m.settings.handoverDelay())
		return max(left-now.Sub(m.seenAt), 0)
	case own:
		return m.settings.handoverDelay()
	default:
		expiredFor := max(now.Sub(m.seenAt)-m.record.Duration, 0)
		return max(m.settings.delayAfterExpiry()-expiredFor, 0)
	}
}

// newRecord returns the record of a grant to this daemon.
func (m *Machine) newRecord(now time.Time, token identity.FencingToken) Record {
	return Record{
		Holder:      m.settings.Holder,
		Incarnation: m.settings.Incarnation,
		Token:       token,
		Duration:    m.settings.Duration,
		Acting:      m.acting || m.delayLeft(now) > 0,
		Waiting:     now.Before(m.actFrom),
	}
}

// delayLeft is how long a new holder would have to wait after the last action of this holder or
// its predecessor.
func (m *Machine) delayLeft(now time.Time) time.Duration {
	left := time.Duration(0)
	if !m.actedAt.IsZero() {
		left = m.settings.handoverDelay() - now.Sub(m.actedAt)
	}
	if m.predecessorActed {
		left = max(left, m.settings.handoverDelay()-now.Sub(m.actFrom))
	}
	return max(left, 0)
}

// read starts a read of the row.
func (m *Machine) read(now time.Time) Action {
	m.callInFlight = true
	m.pollAt = now.Add(m.settings.Duration / pollFraction)
	return Read{Key: m.settings.Key}
}

// renew starts a renewal if it is due.
func (m *Machine) renew(now time.Time) Action {
	if now.Before(m.renewAt) && (m.record.Acting || !m.acting) {
		return nil
	}
	return m.commit(now, m.newRecord(now, m.grant.Token))
}

// release starts a release if the row names this daemon.
func (m *Machine) release(now time.Time) Action {
	if !m.heldByUs() {
		return nil
	}
	released := m.newRecord(now, m.record.Token)
	released.Released = true
	released.HandoverDelayLeft = m.delayLeft(now)
	released.Acting = released.HandoverDelayLeft > 0
	return m.commit(now, released)
}

// commit starts a write of the row, conditional on its last seen version.
func (m *Machine) commit(now time.Time, record Record) Action {
	m.callInFlight = true
	m.hasTriedWrite = true
	m.proposed = record
	m.sentAt = now
	return Commit{Transaction: port.Transaction{
		Conditions: []port.Condition{{Key: m.settings.Key, Version: m.version}},
		Writes:     []port.Write{{Key: m.settings.Key, Value: record.encode()}},
	}}
}

// ReadDone handles the result of a read. It returns a *MalformedError if the row cannot be parsed.
func (m *Machine) ReadDone(now time.Time, rows []port.Row, err error) error {
	m.callInFlight = false
	if err != nil {
		m.retryLater(now, err)
		return nil
	}
	if len(rows) == 0 {
		return m.observe(now, port.Row{Key: m.settings.Key})
	}
	return m.observe(now, rows[0])
}

// ObserveRow handles the row as received from its holder. This is equivalent to a read at this
// moment, because the holder counts from an earlier time. It is ignored while a call is in flight,
// or if a newer version is known. It returns a *MalformedError if the row cannot be parsed.
func (m *Machine) ObserveRow(now time.Time, row port.Row) error {
	if m.callInFlight || row.Version < m.version {
		return nil
	}
	if row.Version > m.version {
		if err := m.observe(now, row); err != nil {
			return err
		}
	}
	m.pollAt = now.Add(m.record.Duration)
	return nil
}

// Row returns the newest known row; its version is zero if there is none.
func (m *Machine) Row() port.Row {
	return port.Row{Key: m.settings.Key, Value: m.record.encode(), Version: m.version}
}

// CommitDone handles the result of a commit. It returns a *MalformedError if the row that caused a
// conflict cannot be parsed.
func (m *Machine) CommitDone(now time.Time, rows []port.Row, err error) error {
	m.callInFlight = false
	if err == nil && len(rows) == 1 {
		m.confirm(now, rows[0].Version)
		return nil
	}
	var conflict *port.ConflictError
	if errors.As(err, &conflict) && len(conflict.Current) == 1 {
		return m.observe(now, conflict.Current[0])
	}
	if !hadNoEffect(err) {
		m.stale = true
	}
	m.retryLater(now, err)
	return nil
}

// hadNoEffect reports whether a failed commit certainly wrote nothing, so that the known state of
// the row is still valid.
func hadNoEffect(err error) bool {
	var unavailable *port.UnavailableError
	var limited *port.RateLimitedError
	return errors.As(err, &unavailable) || errors.As(err, &limited)
}

// confirm adopts the record of a commit that is known to have taken effect. Nothing else creates
// or extends a grant.
func (m *Machine) confirm(now time.Time, version uint64) {
	m.seen = true
	m.version = version
	m.record = m.proposed
	m.seenAt = now
	m.highestToken = max(m.highestToken, m.record.Token)
	if m.record.Released || !m.wanted {
		return
	}
	// The grant counts from the time of sending, since others may have seen the row at any time since.
	m.grant = Grant{Token: m.record.Token, Until: m.sentAt.Add(m.settings.validity()), ActFrom: m.actFrom}
	if m.record.Acting && m.acting {
		m.grant.ActUntil = m.sentAt.Add(m.settings.actWindow())
	}
	m.renewAt = m.sentAt.Add(m.settings.Duration / renewFraction)
}

// observe adopts the row as read from the table.
func (m *Machine) observe(now time.Time, row port.Row) error {
	m.stale = false
	var err error
	if !m.seen || row.Version != m.version {
		m.seen = true
		m.version = row.Version
		m.record, err = m.recordOf(row)
		m.seenAt = now
		m.highestToken = max(m.highestToken, m.record.Token)
	}
	if !m.heldByUs() {
		m.grant = Grant{}
	}
	return err
}

// recordOf parses a row. A malformed row, as another writer may leave it, counts as held by an
// unknown holder that has just acted: a daemon that wants the lease waits as long as for any
// holder, then takes over and thereby repairs the row. Otherwise nobody could ever hold the lease
// again. The row's version serves as its token: the table counts its transactions, and each new
// token took one, so no earlier token is higher.
func (m *Machine) recordOf(row port.Row) (Record, error) {
	var record Record
	if row.Version == 0 {
		return record, nil
	}
	err := json.Unmarshal(row.Value, &record)
	if err == nil {
		err = record.check(m.settings.Duration)
	}
	if err != nil {
		unknown := Record{Token: identity.FencingToken(row.Version), Duration: m.settings.Duration, Acting: true}
		return unknown, &MalformedError{Key: m.settings.Key, Cause: err}
	}
	return record, nil
}

// retryLater schedules the next call after a failure.
func (m *Machine) retryLater(now time.Time, err error) {
	pause := m.settings.RetryInterval()
	var limited *port.RateLimitedError
	if errors.As(err, &limited) {
		pause = max(pause, min(limited.RetryAfter, m.settings.Duration/renewFraction))
		if !m.grant.ValidAt(now) {
			pause = max(pause, m.settings.Duration/pollFraction) // many daemons may be polling
		}
	}
	m.notBefore = now.Add(pause)
}
