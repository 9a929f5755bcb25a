package requestlog

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/relay"
)

// TestLinesTellTheSoftware logs to which version a failed request was sent and on which standing
// that was decided, and the back ends of other versions where none would do.
func TestLinesTellTheSoftware(t *testing.T) {
	var output bytes.Buffer
	journal, _ := journalTo(&output)
	ended := ending()
	ended.Attempt.Software = &relay.SoftwareAttempt{Version: "v2", Trial: true, Stage: rollout.StageTrial, Order: 40, Row: 41}
	ended.Shortage = backendpool.Shortage{Listed: 5, OtherVersion: 3}
	journal.Refused(&relay.Request{ID: "q"}, ended, relay.Refusal{Kind: relay.RefusalUnknown, Reason: "sent"})
	line := lines(t, &output)[0]
	for name, value := range map[string]any{
		"software": "v2", "trial": true, "stage": "trial", "order": 40.0, "standing": 41.0, "other_version": 3.0, "back_ends": 5.0,
	} {
		assert.Equal(t, line[name], value, name)
	}
	output.Reset()
	journal.Retried(&relay.Request{ID: "q"}, ended.Attempt)
	assert.Equal(t, lines(t, &output)[0]["software"], "v2")
}

// TestLinesWithoutRollOutsTellNoSoftware logs a request where no version is looked at.
func TestLinesWithoutRollOutsTellNoSoftware(t *testing.T) {
	var output bytes.Buffer
	journal, _ := journalTo(&output)
	journal.Refused(&relay.Request{ID: "q"}, ending(), relay.Refusal{Kind: relay.RefusalUnknown, Reason: "sent"})
	for _, name := range []string{"software", "trial", "stage", "order", "standing", "other_version"} {
		_, told := lines(t, &output)[0][name]
		assert.Assert(t, !told, name)
	}
}
