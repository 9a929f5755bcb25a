package weightupdate

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood holds what passes to other builds to the bytes that they write.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[Announcement](t, "plan", nil)
	wiretest.Row[Plan](t, "plan_row", nil)
}
