package sharedlimit

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood checks that messages match the recorded bytes of other builds.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[askMessage](t, "limit_ask", nil)
	wiretest.Datagram[answerMessage](t, "limit_answer", nil)
	wiretest.Datagram[returnMessage](t, "limit_return", nil)
}
