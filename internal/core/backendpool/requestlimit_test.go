package backendpool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// limitedPool is a pool of back ends a and b.
func limitedPool() *Pool {
	pool := New("a")
	pool.Update([]Backend{
		{ID: "a", Service: "pages", Address: "a:80", Zone: "a", Slots: 4}, {ID: "b", Service: "pages", Address: "b:80", Zone: "a", Slots: 4},
	})
	return pool
}

func named(perSecond float64) Notice { return Notice{Limit: LimitNotice{LimitNamed, perSecond}} }

// only picks a place at one back end.
func only(pool *Pool, now time.Time, id identity.BackendID) *Ticket {
	exclude := identity.BackendID("a")
	if id == exclude {
		exclude = "b"
	}
	return pool.Pick(now, Query{Service: "pages", Exclude: []identity.BackendID{exclude}})
}

// TestLimitsHoldUntilAnAnswerNamesNone names, changes and ends a limit. Answers to requests that were under way when it
// was named, to calls, refusals, and texts that can't be read end none.
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

// TestLimitsAreOfALife lets a back end start again: what its earlier life named is of that one alone, and what the new one
// named before its row told of it holds.
func TestLimitsAreOfALife(t *testing.T) {
	born := start.Add(time.Minute)
	next := identity.NewBackendID("a", identity.Incarnation(born.UnixMilli()))
	for _, example := range []struct {
		namedAt time.Time
		holds   bool
	}{{start, false}, {born.Add(time.Second), true}} {
		pool := New("a")
		life := Backend{ID: identity.NewBackendID("a", identity.Incarnation(start.UnixMilli())), Service: "pages", Address: "a:80", Zone: "a", Slots: 4}
		pool.Update([]Backend{life})
		assert.Assert(t, pool.RecordNotice(example.namedAt, life.ID, named(2)))
		life.ID = next
		pool.Update([]Backend{life})
		assert.Equal(t, pool.RequestLimit(next).InForce, example.holds)
	}
}
