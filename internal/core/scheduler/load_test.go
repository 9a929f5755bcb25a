package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/belief"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// TestSilentEngineCostsNoMemory sends many requests, our own and those of other
// daemons, to an engine that never reports its load.
func TestSilentEngineCostsNoMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := New(Options{})
	policy.SetBackends(now, []Backend{testEngine("e1", 1)})
	for number := range 5000 {
		now = now.Add(20 * time.Millisecond)
		request := Request{ID: "r", Kind: "engine", Model: "m", Version: "1", PromptTokens: 320, Chain: testChain(number%50, 20), Attempt: 1}
		assert.Equal(t, len(policy.Arrive(now, request)), 1)
		policy.ObserveNotices(now, []Notice{{Backend: "e1", Incarnation: 1, Tokens: 300, Checkpoints: []uint64{belief.BlocksPerCheckpoint}}})
		policy.Finish(now, Finish{RequestID: "r", Backend: "e1"})
		policy.TakeNotices()
	}
	state := policy.backends["e1"]
	assert.Assert(t, len(state.batch.changes) < 1000 && len(state.queue.recent) < 1000,
		fmt.Sprint(len(state.batch.changes), len(state.queue.recent)))
	assert.Assert(t, state.batch.occupancy() <= 60, fmt.Sprint(state.batch.occupancy()))
	assert.Equal(t, len(policy.running)+len(policy.waiting), 0)
}

// TestInteractiveRequestsPassLongPrompts fills every engine with long prompts of
// one tenant, which wait in the router. A short request of another tenant starts
// at once.
func TestInteractiveRequestsPassLongPrompts(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := New(Options{})
	policy.SetBackends(now, []Backend{testEngine("e1", 1), testEngine("e2", 1)})
	started := 0
	for number := range 40 {
		long := Request{ID: identity.RequestID(fmt.Sprint("long", number)), Tenant: "large", Kind: "engine", Model: "m", Version: "1", Class: 1, PromptTokens: 4800, Chain: testChain(number+1, 300), Attempt: 1}
		started += len(policy.Arrive(now, long))
	}
	assert.Assert(t, started >= 2 && started < 10, "%d long prompts were sent at once", started)
	short := Request{ID: "short", Tenant: "small", Kind: "engine", Model: "m", Version: "1", Class: 0, PromptTokens: 200, Chain: testChain(99, 12), Attempt: 1}
	actions := policy.Arrive(now, short)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(Start).RequestID, short.ID)
}
