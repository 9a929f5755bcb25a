package process

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
)

// An engine that is stopped in order finishes the answer that it runs, and the
// next request goes elsewhere though the machine list still shows the engine.
func TestPlannedStopOfAnEngineCutsNothing(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testBudget)
	defer cancel()
	deployment, err := Run(ctx, testPlan(t))
	assert.NilError(t, err)
	defer deployment.Kill()
	defer dumpLogs(t, deployment)
	client := load.NewClient()
	defer client.Close()

	const prompt, longAnswer = "Who won the night race?", 150
	call := load.Call{Address: deployment.Daemons[0].Callers, Key: load.KeyOf(testTenant), Class: identity.ClassStandard}
	answers := make(chan load.Answer, 1)
	go func() { answers <- client.Complete(ctx, call, testModel, prompt, longAnswer) }()
	busy := awaitRunning(t, ctx, deployment)
	assert.NilError(t, busy.Stop())
	answer := <-answers
	expected := model.AnswerOf(testModel, "1", []byte(prompt))
	assert.Assert(t, answer.Whole, "%+v", answer)
	assert.Equal(t, answer.Text, expected.Text(0, longAnswer))

	for _, daemon := range deployment.Daemons {
		call.Address = daemon.Callers
		next := client.Complete(ctx, call, testModel, prompt, 5)
		assert.Assert(t, next.Whole, "through %s: %+v", daemon.Plan.ID, next)
	}
}
