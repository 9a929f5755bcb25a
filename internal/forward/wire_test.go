package forward

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood checks that messages match the recorded bytes of other builds.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[question](t, "reach_question", nil)
	wiretest.Datagram[reply](t, "reach_reply", nil)
	wiretest.Datagram[message](t, "message", nil)
	wiretest.Datagram[head](t, "head", nil)
}
