package rollout

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood checks that messages of other builds can be read, and that the present format is
// that of a recorded build.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[reportMessage](t, "version_report", nil)
	wiretest.Datagram[grantMessage](t, "version_grant", nil)
	wiretest.Datagram[stopMessage](t, "version_stop", nil)
	wiretest.Datagram[standingMessage](t, "version_standing", nil)
}
