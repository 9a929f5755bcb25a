package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// TestFetchPrefersQuickStore checks that a prompt's cache is fetched from the store rather than
// from a backend of the same zone if the transfer is quick and the store's link has capacity, and
// from the backend otherwise.
func TestFetchPrefersQuickStore(t *testing.T) {
	const tokens, tokenBytes = 6000, 100_000
	holder := &backendpool.Backend{Address: "holder:1", Zone: "a"}
	ticket := &backendpool.Ticket{
		Backend: backendpool.Backend{Zone: "a"},
		Source:  backendpool.Source{Holder: holder, HolderTokens: tokens, StoredTokens: tokens},
	}
	bitsPerSecond := func(move time.Duration) float64 { return 8 * tokens * tokenBytes / move.Seconds() }
	for _, example := range []struct {
		move     time.Duration
		expected []string
	}{
		{quickTransfer / 2, []string{"store:1", "store:1"}},
		{2 * quickTransfer, []string{"holder:1", "holder:1"}},
	} {
		store := &routing.PromptStore{Address: "store:1", Zone: "a", LinkBitsPerSecond: bitsPerSecond(example.move)}
		table := routing.Compile(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{TokenBytes: tokenBytes}}}})
		admitted := &admission{
			request: &Request{Prompt: &Prompt{Parts: []Part{{ID: "a", Tokens: tokens}, {ID: "b", Tokens: 100}}}},
			state:   &State{Table: table}, match: routing.Match{Service: "s", Route: &routing.Route{}},
		}
		relay := New(Options{Pool: backendpool.New("a"), Daemons: func() int { return 1 }})
		var sources []string
		for range example.expected {
			sources = append(sources, relay.fetchFrom(time.Now(), admitted, ticket, store))
		}
		assert.DeepEqual(t, sources, example.expected)
		for range 1000 {
			relay.fetchFrom(time.Now(), admitted, ticket, store)
		}
		assert.Equal(t, relay.fetchFrom(time.Now(), admitted, ticket, store), "holder:1", "the link budget of the store is exhausted")
	}
}

// TestPromptWithoutPartsIsServed serves a request that names a model but declares no prompt parts.
func TestPromptWithoutPartsIsServed(t *testing.T) {
	fixture := newFixture(routing.Route{Kind: routing.KindStreaming, MaxAttempts: 1, TargetLatency: time.Second}, 2, 0)
	fixture.backends.streaming, fixture.backends.events = true, 3
	caller := fixture.ask(func(request *Request) { request.Prompt = &Prompt{Model: "m"} })
	assert.Equal(t, caller.body.String(), eventsText(1, 3))
}
