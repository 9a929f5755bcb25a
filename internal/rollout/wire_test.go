package rollout

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood holds what passes to other builds to the bytes that they write.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[reportMessage](t, "version_report", nil)
	wiretest.Datagram[grantMessage](t, "version_grant", nil)
	wiretest.Datagram[stopMessage](t, "version_stop", nil)
	wiretest.Datagram[standingMessage](t, "version_standing", nil)
}
