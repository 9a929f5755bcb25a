package backendpool

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLoadCountsRequestsThatAreNotSuspended compares the load with a count of the requests that are neither suspended nor
// ended, in any order of suspensions, responses and ends.
func TestLoadCountsRequestsThatAreNotSuspended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := New("a")
		pool.Update(engines(1))
		var tickets []*Ticket
		open, counted := map[*Ticket]bool{}, map[*Ticket]bool{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			action := rapid.SampledFrom([]string{"pick", "suspend", "respond", "first byte", "release"}).Draw(t, "action")
			if action == "pick" || len(tickets) == 0 {
				ticket := pool.Pick(now, Query{Service: "llm", Model: "m", OwnTokens: rapid.IntRange(1, 5000).Draw(t, "tokens")})
				if ticket == nil {
					continue
				}
				tickets = append(tickets, ticket)
				open[ticket], counted[ticket] = true, true
			}
			ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
			switch {
			case action == "suspend":
				ticket.Suspend()
				delete(counted, ticket)
			case action == "respond" && open[ticket]:
				ticket.RecordActivity(now)
				counted[ticket] = true
			case action == "first byte" && open[ticket] && counted[ticket]:
				ticket.RecordFirstByte()
			case action == "release" && open[ticket]:
				ticket.Release(now, ResultServed)
				delete(open, ticket)
				delete(counted, ticket)
			}
			want := Load{Key: tickets[0].Key}
			for each := range counted {
				want.InFlight++
				want.Tokens += float64(each.tokens)
				if each.reading {
					want.Reading += each.work
				}
			}
			got := pool.byKey[want.Key].load()
			assert.Equal(t, got.InFlight, want.InFlight)
			assert.Equal(t, got.Tokens, want.Tokens)
			assert.Assert(t, got.Reading-want.Reading < 1e-6 && want.Reading-got.Reading < 1e-6)
		}
	})
}
