package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// TestMalformedAnswersHaveTheirTrueOutcome guards against calling a request not run, or running it twice, after a back end sent what
// forms no answer, and against taking that for a crash that the request caused.
func TestMalformedAnswersHaveTheirTrueOutcome(t *testing.T) {
	for _, each := range []struct {
		name   string
		kind   routing.Kind
		served bool
	}{{"repeatable", routing.KindSafe, true}, {"runs once", routing.KindUnsafe, false}} {
		t.Run(each.name, func(t *testing.T) {
			fixture := newFixture(routing.Route{Kind: each.kind, MaxAttempts: 2}, 2, 10)
			fixture.backends.script = []behaviour{behaveMalformed}
			caller := fixture.ask(nil)
			if each.served {
				assert.Equal(t, caller.body.String(), "whole body")
				assert.Equal(t, len(fixture.backends.dispatches), 2)
				return
			}
			assert.Equal(t, caller.refusal.Kind, RefusalUnknown)
			assert.Equal(t, len(fixture.backends.dispatches), 1)
			attempt := fixture.observer.last.Attempt
			assert.Equal(t, attempt.Reason, reasonMalformed)
			assert.Equal(t, attempt.Result, backendpool.ResultFailed)
			assert.Equal(t, attempt.Malformed.Part, "status code")
		})
	}
}
