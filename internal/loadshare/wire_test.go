package loadshare

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood checks that messages match the recorded bytes of other builds.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[message](t, "loads", nil)
}
