package roomshare

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood checks that messages match the recorded bytes of other builds.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[capacityMessage](t, "room", nil)
	wiretest.Datagram[questionMessage](t, "room_question", nil)
	wiretest.Datagram[answerMessage](t, "room_answer", nil)
}
