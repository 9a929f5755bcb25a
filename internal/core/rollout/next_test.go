package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// rank orders the stages of one order, independently of Stage.rank.
var rank = map[Stage]int{StageTrial: 1, StageShift: 2, StageCompleted: 3, StageRolledBack: 3}

// checkStep checks the invariants of two consecutive standings.
func checkStep(t assert.TestingT, facts Facts, before, after Standing) {
	same := before.Order == after.Order
	assert.Assert(t, after.Order >= before.Order, "an older order")
	assert.Assert(t, after.Stable != "")
	if same && before.Row > 0 {
		assert.Assert(t, rank[after.Stage] > rank[before.Stage], "%s after %s", after.Stage, before.Stage)
		assert.Assert(t, before.Target == after.Target && before.Deadline == after.Deadline && before.BeganAt == after.BeganAt)
	}
	if !same {
		assert.Assert(t, before.Stage != StageShift || before.Target == before.Stable, "replaced during a shift")
		assert.Assert(t, after.Stage != StageCompleted && after.Stable == before.Stable)
	}
	changes := after.Target != before.Stable
	switch after.Stage {
	case StageCompleted:
		assert.Assert(t, before.Stage == StageShift && after.Stable == after.Target)
		assert.Assert(t, facts.Acknowledged && facts.Idle && facts.Quorum && facts.Listed[after.Target] > 0)
		assert.Assert(t, !changes || !facts.Stopped && !facts.Verdict.Bad)
	case StageShift:
		if changes {
			assert.Assert(t, facts.Verdict.Enough && !facts.Verdict.Bad && !facts.Stopped && before.Stage == StageTrial)
			assert.Assert(t, facts.Covered || facts.Verdict.Answers >= minSampleAnswers)
			assert.Assert(t, facts.Now < after.Deadline && after.Deadline-facts.Now <= facts.PromotionTime)
		}
	case StageRolledBack:
		assert.Assert(t, changes && after.Stable == before.Stable && after.Reason != "")
		assert.Assert(t, facts.Stopped || facts.Verdict.Bad || facts.Now >= after.Deadline)
	}
}

// TestStagesOnlyGoForward draws orders, facts and readers with outdated orders: every written standing must
// respect the order of stages, and ended orders must stay ended.
func TestStagesOnlyGoForward(t *testing.T) {
	versions := rapid.SampledFrom([]identity.SoftwareVersion{"v1", "v2", "v3"})
	rapid.Check(t, func(t *rapid.T) {
		service := Service{Standing: Standing{Service: "chat"}}
		now, stopped := time.Duration(0), map[uint64]bool{}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * time.Second
			if rapid.IntRange(0, 5).Draw(t, "order") == 0 {
				number := uint64(rapid.IntRange(max(step-3, 1), step+1).Draw(t, "number"))
				length := time.Duration(rapid.IntRange(0, 30).Draw(t, "duration")) * time.Second
				service.Order = &Order{Service: "chat", Target: versions.Draw(t, "target"), Number: number, Duration: length}
				service.OrderSince = now - time.Duration(rapid.IntRange(0, 10).Draw(t, "late"))*time.Second
			}
			flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
			stopped[service.Standing.Order] = stopped[service.Standing.Order] || rapid.IntRange(0, 9).Draw(t, "stop") == 0
			facts := Facts{
				Now: now, Service: service, PromotionTime: 4 * time.Second,
				Listed:  map[identity.SoftwareVersion]int{"v1": rapid.IntRange(0, 2).Draw(t, "v1"), "v2": rapid.IntRange(0, 2).Draw(t, "v2")},
				Verdict: Verdict{Enough: flag("enough"), Bad: rapid.IntRange(0, 9).Draw(t, "bad") == 0, Reason: "bad", Answers: rapid.IntRange(0, 2*minSampleAnswers).Draw(t, "answers")},
				Covered: flag("covered"), Stopped: stopped[service.Standing.Order], Acknowledged: flag("acknowledged"), Quorum: flag("quorum"), Idle: flag("idle"),
			}
			next, write := Next(facts)
			if !write {
				continue
			}
			checkStep(t, facts, service.Standing, next)
			service.Standing = next
			service.Standing.Row++
		}
	})
}

// scenario returns the facts of a service with an order of 30 seconds, in which every condition is met.
func scenario() Facts {
	return Facts{
		Service: Service{
			Order:    &Order{Service: "chat", Target: "v2", Number: 7, Duration: 30 * time.Second},
			Standing: Standing{Service: "chat", Stable: "v1", Row: 1}, OrderSince: 100 * time.Second,
		},
		Now: 101 * time.Second, Listed: map[identity.SoftwareVersion]int{"v1": 10, "v2": 10},
		Verdict: Verdict{Enough: true}, Covered: true, Acknowledged: true, Quorum: true, Idle: true, PromotionTime: 5 * time.Second,
	}
}

// assertWritten runs one step, which has to write a standing with a stage.
func assertWritten(t *testing.T, facts *Facts, want Stage) {
	t.Helper()
	next, written := Next(*facts)
	assert.Assert(t, written)
	assert.Equal(t, next.Stage, want)
	facts.Service.Standing = next
	facts.Service.Standing.Row++
}

func assertNoWrite(t *testing.T, facts Facts) {
	t.Helper()
	next, written := Next(facts)
	assert.Assert(t, !written, "%v", next)
}

// TestGoodVersionIsPromotedLate follows an order to its completion. The shift must wait until the promotion time
// before the deadline.
func TestGoodVersionIsPromotedLate(t *testing.T) {
	facts := scenario()
	facts.Service.Standing = Standing{Service: "chat"}
	assertWritten(t, &facts, StageNone)
	assert.Equal(t, facts.Service.Standing.Stable, identity.SoftwareVersion("v1"))
	assertWritten(t, &facts, StageTrial)
	assert.Equal(t, facts.Service.Standing.Deadline, 130*time.Second)
	facts.Now = 125*time.Second - 1
	assertNoWrite(t, facts)
	facts.Now = 125 * time.Second
	facts.Quorum = false
	assertNoWrite(t, facts)
	facts.Quorum = true
	assertWritten(t, &facts, StageShift)
	facts.Now = 140 * time.Second
	for _, missing := range []*bool{&facts.Acknowledged, &facts.Idle, &facts.Quorum} {
		*missing = false
		assertNoWrite(t, facts)
		*missing = true
	}
	assertWritten(t, &facts, StageCompleted)
	assert.Equal(t, facts.Service.Standing.Stable, identity.SoftwareVersion("v2"))
	facts.Stopped = true
	assertNoWrite(t, facts)
}

// TestRollbacks covers everything that ends an order early, or at its deadline.
func TestRollbacks(t *testing.T) {
	for name, change := range map[string]func(*Facts){
		"stopped":        func(facts *Facts) { facts.Stopped = true },
		"bad":            func(facts *Facts) { facts.Verdict = Verdict{Bad: true, Reason: "bad"} },
		"not enough":     func(facts *Facts) { facts.Verdict.Enough, facts.Now = false, 130*time.Second },
		"forgotten":      func(facts *Facts) { facts.Covered, facts.Now = false, 130*time.Second },
		"nobody runs it": func(facts *Facts) { facts.Listed, facts.Now = nil, 130*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			facts := scenario()
			assertWritten(t, &facts, StageTrial)
			change(&facts)
			assertWritten(t, &facts, StageRolledBack)
			assert.Equal(t, facts.Service.Standing.Stable, identity.SoftwareVersion("v1"))
			assertNoWrite(t, facts)
		})
	}
	facts := scenario()
	facts.Now = 130 * time.Second
	assertWritten(t, &facts, StageRolledBack)
	facts = scenario()
	assertWritten(t, &facts, StageTrial)
	facts.Now = 126 * time.Second
	assertWritten(t, &facts, StageShift)
	facts.Stopped = true
	assertWritten(t, &facts, StageRolledBack)
}

// TestNewerOrders replaces an order in each of its stages.
func TestNewerOrders(t *testing.T) {
	order := func(facts *Facts, number uint64, target identity.SoftwareVersion) {
		facts.Service.Order = &Order{Service: "chat", Target: target, Number: number, Duration: 30 * time.Second}
		facts.Service.OrderSince = facts.Now
	}
	facts := scenario()
	assertWritten(t, &facts, StageTrial)
	order(&facts, 8, "v3")
	assertWritten(t, &facts, StageTrial)
	assert.Equal(t, facts.Service.Standing.Target, identity.SoftwareVersion("v3"))
	order(&facts, 9, "v1") // back to the stable version
	assertWritten(t, &facts, StageShift)
	assertWritten(t, &facts, StageCompleted)
	order(&facts, 10, "v2")
	assertWritten(t, &facts, StageTrial)
	facts.Now += 26 * time.Second
	assertWritten(t, &facts, StageShift)
	order(&facts, 11, "v1") // waits until the shift has ended
	facts.Idle = false
	assertNoWrite(t, facts)
	facts.Idle = true
	assertWritten(t, &facts, StageCompleted)
	assert.Equal(t, facts.Service.Standing.Order, uint64(10))
	assertWritten(t, &facts, StageTrial)
	assert.Equal(t, facts.Service.Standing.Target, identity.SoftwareVersion("v1"))
}
