package roomshare

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood holds what passes to other builds to the bytes that they write.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[toldMessage](t, "room", nil)
	wiretest.Datagram[questionMessage](t, "room_question", nil)
	wiretest.Datagram[answerMessage](t, "room_answer", nil)
}
