// Package lease decides when a daemon may act as the single holder of a duty. It
// is pure: it does no I/O and reads no clock. The lease is one row of the
// platform's table, and only conditional commits change it.
//
// No two clocks are ever compared. A holder counts from when it sent the commit
// that was confirmed, and stops before the lease's duration is over. Any other
// daemon counts the whole duration from when it first saw the row's present
// version, which is after the holder's commit took effect and so after it was
// sent. The holder's margin covers clocks that run at different rates.
//
// A holder that was paused may still send effects after its lease lapsed. Each
// effect therefore carries the grant's fencing token, and receivers refuse
// tokens older than the newest they have seen (type Fence).
package lease

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Machine is one daemon's state for one lease. All times are of the daemon's own
// monotonic clock.
type Machine struct {
	settings Settings
	// wanted is false while the daemon doesn't want the lease.
	wanted bool
	// acting is set while the holder wants to act, and actedAt is when it last did.
	acting  bool
	actedAt time.Time
	// actFrom is when a new holder may act for the first time, and inherits is set when
	// one before it may have acted lately.
	actFrom  time.Time
	inherits bool
	grant    Grant
	// renewAt is when the grant is to be renewed.
	renewAt time.Time

	// seen is set once the row has been read. Then version and record are the
	// newest known of it, and seenAt is when that version was first seen.
	seen    bool
	version uint64
	record  Record
	seenAt  time.Time
	// highestToken is the newest token ever seen in the row.
	highestToken identity.FencingToken
	// era is the table's newest known one, and returnedAt when it last rose; zero is never.
	era        uint64
	returnedAt time.Time
	// stale is set when the row has to be read before the next commit.
	stale bool

	// involved is set once this machine has tried to write the row.
	involved bool
	// calling is set while a call is under way.
	calling bool
	// proposed and sentAt are of the commit under way.
	proposed Record
	sentAt   time.Time
	// pollAt is when the row is read again while another daemon holds the lease.
	pollAt time.Time
	// notBefore is the earliest time of the next call.
	notBefore time.Time
}

// New makes a machine that wants the lease.
func New(settings Settings) *Machine {
	return &Machine{settings: settings, wanted: true, stale: true}
}

// Grant returns the newest grant, which may have lapsed.
func (m *Machine) Grant() Grant { return m.grant }

// Want says whether the daemon wants the lease. A holder that no longer wants it
// stops at once and then releases the row.
func (m *Machine) Want(wanted bool) {
	if m.wanted && !wanted {
		m.grant = Grant{}
	}
	m.wanted = wanted
}

// SetActing says whether the holder wants to act. It may from the next commit on, and
// no longer once it doesn't want to.
func (m *Machine) SetActing(acting bool) {
	m.acting = acting
	if !acting {
		m.grant.ActUntil = time.Time{}
	}
}

// RecordAction notes when the holder last acted. It must be told before the row is released.
func (m *Machine) RecordAction(at time.Time) {
	if at.After(m.actedAt) {
		m.actedAt = at
	}
}

// FullyReleased tells whether a daemon that doesn't want the lease has nothing left to
// release.
func (m *Machine) FullyReleased() bool {
	if m.wanted || m.calling {
		return false
	}
	return !m.involved || (!m.stale && !m.heldByUs())
}

// Tick returns the next call to make, or nil. It is called every RetryInterval.
func (m *Machine) Tick(now time.Time) Action {
	m.noteEra(now)
	if m.calling || now.Before(m.notBefore) {
		return nil
	}
	if !m.wanted && !m.involved {
		return nil // daemons that never tried leave the table alone
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
	if m.free(now) {
		return m.takeOver(now)
	}
	if !now.Before(m.pollAt) {
		return m.read(now)
	}
	return nil
}

// free tells whether nobody else can believe to hold the lease.
func (m *Machine) free(now time.Time) bool {
	if m.version == 0 || m.record.Released {
		return true
	}
	if m.settings.SoleIncarnation && m.record.Holder == m.settings.Holder {
		return true
	}
	// Only this machine acts on its own record, and it holds no valid grant.
	return m.heldByUs() || now.Sub(m.seenAt) >= m.record.Duration
}

// heldByUs tells whether the row names this life of this daemon.
func (m *Machine) heldByUs() bool {
	return m.version > 0 && !m.record.Released &&
		m.record.Holder == m.settings.Holder && m.record.Incarnation == m.settings.Incarnation
}

// takeOver starts a commit that makes this daemon the holder. Whoever takes back what it
// held itself goes on waiting where it was: nobody else has acted since.
func (m *Machine) takeOver(now time.Time) Action {
	if !m.heldByUs() {
		m.actFrom = now.Add(max(m.wait(now), m.lostHolder(now)))
		m.inherits = m.record.Acting
	}
	return m.commit(now, m.newRecord(now, m.nextToken()))
}

// tokensEach is how many tokens an era has.
const tokensEach = 1 << 32

// nextToken is greater than any token before. Those of the row may be of a copy of before the last ones.
func (m *Machine) nextToken() identity.FencingToken {
	return max(m.highestToken, identity.FencingToken(m.era*tokensEach)) + 1
}

// noteEra notes when the table came back from a copy. Another daemon may hold the lease and the row say nothing of it.
func (m *Machine) noteEra(now time.Time) {
	if era := m.settings.Era.Era(); era > m.era {
		m.era, m.returnedAt = era, now
	}
}

// lostHolder is how long a holder may still act, and the rest after it, of which the row says nothing since the table came
// back from a copy.
func (m *Machine) lostHolder(now time.Time) time.Duration {
	if m.returnedAt.IsZero() {
		return 0
	}
	return max(m.settings.actWithin()+m.settings.rest()-now.Sub(m.returnedAt), 0)
}

// wait is how long a new holder must not act because of the one before it. An earlier
// life of this daemon acted as this daemon, but may have been waiting itself. What has
// passed since the row was seen counts: the one before it acted earlier.
func (m *Machine) wait(now time.Time) time.Duration {
	own := m.record.Holder == m.settings.Holder
	switch {
	case m.version == 0, !m.record.Acting, own && !m.record.Waiting:
		return 0
	case m.record.Released:
		left := min(m.record.HandoverDelayLeft+m.settings.margin(), m.settings.rest())
		return max(left-now.Sub(m.seenAt), 0)
	case own:
		return m.settings.rest()
	default:
		lapsedFor := max(now.Sub(m.seenAt)-m.record.Duration, 0)
		return max(m.settings.restAfterLapse()-lapsedFor, 0)
	}
}

// newRecord returns the record of a grant to this daemon.
func (m *Machine) newRecord(now time.Time, token identity.FencingToken) Record {
	return Record{
		Holder:      m.settings.Holder,
		Incarnation: m.settings.Incarnation,
		Token:       token,
		Duration:    m.settings.Duration,
		Acting:      m.acting || m.restLeft(now) > 0,
		Waiting:     now.Before(m.actFrom),
	}
}

// restLeft is how long a new holder would have to wait after the last act, of this one
// or of one before it.
func (m *Machine) restLeft(now time.Time) time.Duration {
	left := time.Duration(0)
	if !m.actedAt.IsZero() {
		left = m.settings.rest() - now.Sub(m.actedAt)
	}
	if m.inherits {
		left = max(left, m.settings.rest()-now.Sub(m.actFrom))
	}
	return max(left, 0)
}

// read starts a read of the row.
func (m *Machine) read(now time.Time) Action {
	m.calling = true
	m.pollAt = now.Add(m.settings.Duration / pollFraction)
	return Read{Key: m.settings.Key}
}

// renew starts a renewal when it is due.
func (m *Machine) renew(now time.Time) Action {
	if now.Before(m.renewAt) && (m.record.Acting || !m.acting) {
		return nil
	}
	return m.commit(now, m.newRecord(now, m.grant.Token))
}

// release starts a release when the row names this daemon.
func (m *Machine) release(now time.Time) Action {
	if !m.heldByUs() {
		return nil
	}
	released := m.newRecord(now, m.record.Token)
	released.Released = true
	released.HandoverDelayLeft = m.restLeft(now)
	released.Acting = released.HandoverDelayLeft > 0
	return m.commit(now, released)
}

// commit starts a write of the row on condition that it is as last seen.
func (m *Machine) commit(now time.Time, record Record) Action {
	m.calling = true
	m.involved = true
	m.proposed = record
	m.sentAt = now
	return Commit{Transaction: port.Transaction{
		Conditions: []port.Condition{{Key: m.settings.Key, Version: m.version}},
		Writes:     []port.Write{{Key: m.settings.Key, Value: record.encode()}},
	}}
}

// ReadDone takes the result of a read. It returns a *MalformedError when the row
// cannot be understood.
func (m *Machine) ReadDone(now time.Time, rows []port.Row, err error) error {
	m.calling = false
	if err != nil {
		m.retryLater(now, err)
		return nil
	}
	if len(rows) == 0 {
		return m.observe(now, port.Row{Key: m.settings.Key})
	}
	return m.observe(now, rows[0])
}

// ObserveRow takes in the row as its holder has told it. That is as good as having read it at
// this moment: the holder counts from before. Nothing is taken in during a call, and
// nothing older than what is known. It returns a *MalformedError when the row cannot be
// understood.
func (m *Machine) ObserveRow(now time.Time, row port.Row) error {
	if m.calling || row.Version < m.version {
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

// Row is the newest known row; its version is zero without any.
func (m *Machine) Row() port.Row {
	return port.Row{Key: m.settings.Key, Value: m.record.encode(), Version: m.version}
}

// CommitDone takes the result of a commit. It returns a *MalformedError when the
// row that caused a conflict cannot be understood.
func (m *Machine) CommitDone(now time.Time, rows []port.Row, err error) error {
	m.calling = false
	if err == nil && len(rows) == 1 {
		m.confirm(now, rows[0].Version)
		return nil
	}
	var conflict *port.ConflictError
	if errors.As(err, &conflict) && len(conflict.Current) == 1 {
		return m.observe(now, conflict.Current[0])
	}
	if !withoutEffect(err) {
		m.stale = true
	}
	m.retryLater(now, err)
	return nil
}

// withoutEffect tells whether a failed commit certainly wrote nothing and left
// what is known of the row as it was.
func withoutEffect(err error) bool {
	var unavailable *port.UnavailableError
	var limited *port.RateLimitedError
	return errors.As(err, &unavailable) || errors.As(err, &limited)
}

// confirm takes over the record of a commit that is known to have taken effect.
// Nothing else ever makes or extends a grant.
func (m *Machine) confirm(now time.Time, version uint64) {
	m.seen = true
	m.version = version
	m.record = m.proposed
	m.seenAt = now
	m.highestToken = max(m.highestToken, m.record.Token)
	if m.record.Released || !m.wanted {
		return
	}
	// The time of sending counts: others may have seen the row any time since.
	m.grant = Grant{Token: m.record.Token, Until: m.sentAt.Add(m.settings.usable()), ActFrom: m.actFrom}
	if m.record.Acting && m.acting {
		m.grant.ActUntil = m.sentAt.Add(m.settings.actWithin())
	}
	m.renewAt = m.sentAt.Add(m.settings.Duration / renewFraction)
}

// observe takes over the row as the table gave it.
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

// recordOf reads a row. One that can't be understood, as another writer may leave it, counts as held by nobody known
// who has just acted: whoever wants the lease waits as long as for any holder, and then takes over and so repairs the
// row. Otherwise nobody would ever hold it again. Its token is the row's version: the table counts its transactions,
// and each new token took one, so that no token before was greater.
func (m *Machine) recordOf(row port.Row) (Record, error) {
	var record Record
	if row.Version == 0 {
		return record, nil
	}
	err := json.Unmarshal(row.Value, &record)
	if err == nil && !record.isWhole() {
		err = errPartialRecord
	}
	if err != nil {
		unknown := Record{Token: identity.FencingToken(row.Version), Duration: m.settings.Duration, Acting: true}
		return unknown, &MalformedError{Key: m.settings.Key, Cause: err}
	}
	return record, nil
}

// retryLater sets the time of the next call after a failure.
func (m *Machine) retryLater(now time.Time, err error) {
	pause := m.settings.RetryInterval()
	var limited *port.RateLimitedError
	if errors.As(err, &limited) {
		pause = max(pause, min(limited.RetryAfter, m.settings.Duration/renewFraction))
		if !m.grant.ValidAt(now) {
			pause = max(pause, m.settings.Duration/pollFraction) // many may be asking
		}
	}
	m.notBefore = now.Add(pause)
}
