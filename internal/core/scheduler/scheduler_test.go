package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// TestSchedulerAgainstAccount drives the scheduler with engines that restart,
// leave, reload and vanish. No request is lost or decided twice, none starts where
// it must not, no belief of an ended life is used, and limits hold.
func TestSchedulerAgainstAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":      w.arrive,
			"arrive too":  w.arrive,
			"change":      w.change,
			"first token": w.firstToken,
			"finish":      w.finish,
			"cancel":      w.cancel,
			"event":       w.event,
			"tick":        w.tick,
			"": func(t *rapid.T) {
				assert.Equal(t, len(w.policy.waiting), len(w.waiting))
				assert.Assert(t, len(w.waiting) <= w.policy.options.QueueLimit)
				assert.Assert(t, w.active["limited"] <= testConcurrency)
				assert.Equal(t, w.policy.limits.Active("limited"), w.active["limited"])
				for id, request := range w.waiting {
					assert.Assert(t, w.policy.waiting[id] != nil, "%s was lost", id)
					assert.Equal(t, w.policy.waiting[id].request.Attempt, request.Attempt)
				}
			},
		})
		w.drain(t)
	})
}

// drain ends all running requests until nothing is left. Every request that
// waits must come to a decision.
func (w *world) drain(t *rapid.T) {
	for range 200 {
		for id, start := range w.running {
			delete(w.running, id)
			w.active[w.requests[id].Tenant]--
			w.act(t, w.policy.Finish(w.now, Finish{RequestID: id, Backend: start.Backend.ID, OutputTokens: 1}))
		}
		w.now = w.now.Add(50 * time.Millisecond)
		w.act(t, w.policy.Tick(w.now))
		if len(w.waiting)+len(w.running) == 0 {
			return
		}
	}
	t.Fatalf("%d requests were never decided", len(w.waiting))
}

// TestPrefixFollowersJoinTheEngineThatComputes sends two requests with the same
// prefix and a third without it while the first is still being computed.
func TestPrefixFollowersJoinTheEngineThatComputes(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := New(Options{})
	policy.SetBackends(now, []Backend{testEngine("e1", 1), testEngine("e2", 1), testEngine("e3", 1)})
	request := Request{Kind: identity.KindEngine, Model: "m", Version: "1", Class: identity.ClassStandard, PromptTokens: 640, Chain: testChain(1, 40), Attempt: 1}

	request.ID = "leader"
	leader := policy.Arrive(now, request)[0].(Start)
	request.ID = "follower"
	follower := policy.Arrive(now, request)[0].(Start)
	assert.Equal(t, follower.Backend.ID, leader.Backend.ID)
	assert.Equal(t, follower.ExpectedCachedTokens, 640)
	request.ID, request.Chain = "other", testChain(2, 40)
	other := policy.Arrive(now, request)[0].(Start)
	assert.Assert(t, other.Backend.ID != leader.Backend.ID)
}
