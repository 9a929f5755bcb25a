package streamorigin

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

func TestMessagesAreReadFromEarlierBuilds(t *testing.T) {
	wiretest.Datagram[beginMessage](t, "stream_begin", nil)
	wiretest.Datagram[confirmMessage](t, "stream_begin_confirm", nil)
	wiretest.Datagram[questionMessage](t, "stream_question", nil)
	wiretest.Datagram[answerMessage](t, "stream_answer", nil)
	wiretest.Datagram[evidenceMessage](t, "stream_evidence", nil)
	wiretest.Datagram[handoverMessage](t, "stream_handover", nil)
	wiretest.Row[record](t, "stream_versions", nil)
}
