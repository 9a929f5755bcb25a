package requestlog

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/relay"
)

// TestSoftwareLogFields checks that a failed request is logged with the software version it was
// sent to, the rollout standing behind that choice, and the number of backends of other versions
// if none was eligible.
func TestSoftwareLogFields(t *testing.T) {
	var output bytes.Buffer
	recorder, _ := newTestRecorder(&output)
	completion := testCompletion()
	completion.Attempt.Software = &relay.SoftwareAttempt{Version: "v2", Trial: true, Stage: rollout.StageTrial, Order: 40, Row: 41}
	completion.Shortage = backendpool.Shortage{Listed: 5, OtherVersion: 3}
	recorder.Refused(&relay.Request{ID: "q"}, completion, relay.Refusal{Kind: relay.RefusalUnknown, Reason: "sent"})
	line := logLines(t, &output)[0]
	for name, value := range map[string]any{
		"software": "v2", "trial": true, "stage": "trial", "order": 40.0, "standing": 41.0, "other_version": 3.0, "back_ends": 5.0,
	} {
		assert.Equal(t, line[name], value, name)
	}
	output.Reset()
	recorder.Retried(&relay.Request{ID: "q"}, completion.Attempt)
	assert.Equal(t, logLines(t, &output)[0]["software"], "v2")
}

// TestNoSoftwareLogFieldsWithoutRollouts checks that no software fields are logged if versions are
// not selected.
func TestNoSoftwareLogFieldsWithoutRollouts(t *testing.T) {
	var output bytes.Buffer
	recorder, _ := newTestRecorder(&output)
	recorder.Refused(&relay.Request{ID: "q"}, testCompletion(), relay.Refusal{Kind: relay.RefusalUnknown, Reason: "sent"})
	for _, name := range []string{"software", "trial", "stage", "order", "standing", "other_version"} {
		_, present := logLines(t, &output)[0][name]
		assert.Assert(t, !present, name)
	}
}
