package backendpool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pickedAll returns which back ends are picked over many prompts.
func pickedAll(pool *Pool, now time.Time) map[string]bool {
	picked := map[string]bool{}
	for home := range uint64(60) {
		ticket := pool.Pick(now, Query{Service: "llm", Model: "m", Home: home + 1})
		picked[string(ticket.Backend.ID)] = true
		ticket.Release(now, ResultAbandoned)
	}
	return picked
}

// TestTwoDaemonsAreBelieved takes a back end out when two daemons could not reach it,
// not when one could not, and not when it has just answered here.
func TestTwoDaemonsAreBelieved(t *testing.T) {
	accuser, pool := New("a"), New("a")
	accuser.Update(engines(3))
	pool.Update(engines(3))
	ticket := accuser.Pick(start, Query{Service: "llm", Model: "m", Home: 1})
	accused := string(ticket.Backend.ID)
	assert.Assert(t, ticket.Release(start, ResultUnreachable))
	doubts := accuser.TakeFailureReports()
	assert.Equal(t, len(doubts), 1)
	assert.Equal(t, len(accuser.TakeFailureReports()), 0)

	pool.ReceiveFailureReports(start, "one", doubts)
	pool.ReceiveFailureReports(start, "one", doubts)
	assert.Assert(t, pickedAll(pool, start)[accused])
	late := start.Add(2 * accusationTime)
	pool.ReceiveFailureReports(late, "two", doubts)
	assert.Assert(t, pickedAll(pool, late)[accused])
	pool.ReceiveFailureReports(late, "one", doubts)
	assert.Assert(t, !pickedAll(pool, late)[accused])
	assert.Assert(t, pickedAll(pool, late.Add(shortestEjection))[accused])

	answered := late.Add(time.Minute)
	for _, found := range pool.byID {
		found.heardAt = answered
	}
	pool.ReceiveFailureReports(answered, "one", doubts)
	pool.ReceiveFailureReports(answered, "two", doubts)
	assert.Assert(t, pickedAll(pool, answered)[accused])
}

// TestReplacedIsBelievedAtOnce takes a back end out whose address has gone to another.
func TestReplacedIsBelievedAtOnce(t *testing.T) {
	accuser, pool := New("a"), New("a")
	accuser.Update(engines(3))
	pool.Update(engines(3))
	ticket := accuser.Pick(start, Query{Service: "llm", Model: "m", Home: 1})
	ticket.Release(start, ResultReplaced)
	pool.ReceiveFailureReports(start, "one", accuser.TakeFailureReports())
	assert.Assert(t, !pickedAll(pool, start)[string(ticket.Backend.ID)])
}
