package loadhome

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood checks that messages match the recorded bytes of other builds.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[limitMessage](t, "request_limits", nil)
	wiretest.Datagram[noteMessage](t, "load_note", nil)
	wiretest.Datagram[questionMessage](t, "load_question", nil)
	wiretest.Datagram[answerMessage](t, "load_answer", nil)
	wiretest.Datagram[findingMessage](t, "finding", nil)
	wiretest.Datagram[partNote](t, "partnote", nil)
	wiretest.Datagram[partQuestion](t, "partquestion", nil)
	wiretest.Datagram[partAnswer](t, "partanswer", nil)
}
