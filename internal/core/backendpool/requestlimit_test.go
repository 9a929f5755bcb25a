package backendpool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// limitedPool returns a pool with the back ends a and b.
func limitedPool() *Pool {
	pool := New("a")
	pool.Update([]Backend{
		{ID: "a", Service: "pages", Address: "a:80", Zone: "a", Slots: 4}, {ID: "b", Service: "pages", Address: "b:80", Zone: "a", Slots: 4},
	})
	return pool
}

func named(perSecond float64) Notice { return Notice{Limit: LimitNotice{LimitNamed, perSecond}} }

// only picks one particular back end.
func only(pool *Pool, now time.Time, id identity.BackendID) *Ticket {
	exclude := identity.BackendID("a")
	if id == exclude {
		exclude = "b"
	}
	return pool.Pick(now, Query{Service: "pages", Exclude: []identity.BackendID{exclude}})
}

// TestLimitsHoldUntilAnAnswerNamesNone states, changes and ends a limit. Responses to requests sent before the
// limit was stated, refusals, and responses and notices without a readable limit must not end it.
func TestLimitsHoldUntilAnAnswerNamesNone(t *testing.T) {
	pool, now := limitedPool(), start
	none := Notice{Limit: LimitNotice{Kind: LimitNone}}
	underWay := only(pool, now, "a")
	now = now.Add(time.Second)
	assert.Assert(t, only(pool, now, "a").RecordResponseHeader(now, named(1.1), AdmissionAccepted).NoticeIsNew)
	assert.Equal(t, pool.RequestLimit("a"), RequestLimit{Version: 1, InForce: true, PerSecond: 1.1})
	assert.Equal(t, pool.RequestLimit("b"), RequestLimit{})

	now = now.Add(time.Second)
	assert.Assert(t, !underWay.RecordResponseHeader(now, none, AdmissionAccepted).NoticeIsNew)
	later := only(pool, now, "a")
	assert.Equal(t, later.Limit.PerSecond, 1.1)
	assert.Assert(t, !later.RecordResponseHeader(now, Notice{}, AdmissionRefused).NoticeIsNew)
	assert.Assert(t, !pool.RecordNotice(now, "a", Notice{}))
	assert.Assert(t, pool.RequestLimit("a").InForce)
	assert.Assert(t, !pool.RecordNotice(now, "a", named(1.1)))
	assert.Assert(t, pool.RecordNotice(now, "a", named(3)))
	assert.Equal(t, pool.RequestLimit("a"), RequestLimit{Version: 2, InForce: true, PerSecond: 3})

	assert.Assert(t, later.RecordResponseHeader(now, none, AdmissionAccepted).NoticeIsNew)
	assert.Equal(t, pool.RequestLimit("a"), RequestLimit{Version: 3})
	assert.Assert(t, !later.RecordResponseHeader(now, none, AdmissionAccepted).NoticeIsNew)
}

// TestLimitsBelongToAnIncarnation restarts a back end. The limit of the earlier incarnation must not carry over,
// and one that the new incarnation stated before it was listed must apply.
func TestLimitsBelongToAnIncarnation(t *testing.T) {
	restartedAt := start.Add(time.Minute)
	next := identity.NewBackendID("a", identity.Incarnation(restartedAt.UnixMilli()))
	for _, example := range []struct {
		namedAt time.Time
		holds   bool
	}{{start, false}, {restartedAt.Add(time.Second), true}} {
		pool := New("a")
		backend := Backend{ID: identity.NewBackendID("a", identity.Incarnation(start.UnixMilli())), Service: "pages", Address: "a:80", Zone: "a", Slots: 4}
		pool.Update([]Backend{backend})
		assert.Assert(t, pool.RecordNotice(example.namedAt, backend.ID, named(2)))
		backend.ID = next
		pool.Update([]Backend{backend})
		assert.Equal(t, pool.RequestLimit(next).InForce, example.holds)
	}
}
