package backendpool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pickedAll returns the back ends picked for many different prompts.
func pickedAll(pool *Pool, now time.Time) map[string]bool {
	picked := map[string]bool{}
	for home := range uint64(60) {
		ticket := pool.Pick(now, Query{Service: "llm", Model: "m", Home: home + 1})
		picked[string(ticket.Backend.ID)] = true
		ticket.Release(now, ResultAbandoned)
	}
	return picked
}

// TestTwoDaemonsAreBelieved checks that a back end is ejected when two daemons report it as unreachable, but not
// after a single report, and not if it has just responded to this daemon.
func TestTwoDaemonsAreBelieved(t *testing.T) {
	reporter, pool := New("a"), New("a")
	reporter.Update(engines(3))
	pool.Update(engines(3))
	ticket := reporter.Pick(start, Query{Service: "llm", Model: "m", Home: 1})
	reportedID := string(ticket.Backend.ID)
	assert.Assert(t, ticket.Release(start, ResultUnreachable))
	failureReports := reporter.TakeFailureReports()
	assert.Equal(t, len(failureReports), 1)
	assert.Equal(t, len(reporter.TakeFailureReports()), 0)

	pool.ReceiveFailureReports(start, "one", failureReports)
	pool.ReceiveFailureReports(start, "one", failureReports)
	assert.Assert(t, pickedAll(pool, start)[reportedID])
	late := start.Add(2 * corroborationWindow)
	pool.ReceiveFailureReports(late, "two", failureReports)
	assert.Assert(t, pickedAll(pool, late)[reportedID])
	pool.ReceiveFailureReports(late, "one", failureReports)
	assert.Assert(t, !pickedAll(pool, late)[reportedID])
	assert.Assert(t, pickedAll(pool, late.Add(minEjection))[reportedID])

	answered := late.Add(time.Minute)
	for _, found := range pool.byID {
		found.lastActivityAt = answered
	}
	pool.ReceiveFailureReports(answered, "one", failureReports)
	pool.ReceiveFailureReports(answered, "two", failureReports)
	assert.Assert(t, pickedAll(pool, answered)[reportedID])
}

// TestReplacedBackEndIsEjectedAtOnce checks that one report is enough to eject a back end whose address belongs to
// another one.
func TestReplacedBackEndIsEjectedAtOnce(t *testing.T) {
	reporter, pool := New("a"), New("a")
	reporter.Update(engines(3))
	pool.Update(engines(3))
	ticket := reporter.Pick(start, Query{Service: "llm", Model: "m", Home: 1})
	ticket.Release(start, ResultReplaced)
	pool.ReceiveFailureReports(start, "one", reporter.TakeFailureReports())
	assert.Assert(t, !pickedAll(pool, start)[string(ticket.Backend.ID)])
}
