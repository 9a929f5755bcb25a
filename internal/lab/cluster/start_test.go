package cluster

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// The context of the start bounds the start alone: a deployment serves on after
// it has ended, until Close.
func TestDeploymentOutlivesTheContextOfItsStart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), startBudget)
	running, err := Start(ctx, small(t))
	assert.NilError(t, err)
	defer running.Close()
	cancel()
	assert.DeepEqual(t, running.Daemons[0].NotReady(), []string(nil))
	answer, text := post(t, running.Daemons[0].Addresses().Callers, "/v1/completions", map[string]any{
		"model": modelName, "prompt": "the race log", "max_tokens": 4,
	})
	assert.Equal(t, answer.StatusCode, http.StatusOK, text)
}
