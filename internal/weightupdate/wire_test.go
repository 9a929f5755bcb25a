package weightupdate

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood checks that messages and rows recorded from other builds decode and encode unchanged.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[Announcement](t, "plan", nil)
	wiretest.Row[Plan](t, "plan_row", nil)
}
