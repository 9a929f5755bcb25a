package directory

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood holds what passes to other builds to the bytes that they write.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[Bulletin](t, "bulletin", nil)
	wiretest.Datagram[Snapshot](t, "snapshot", nil)
	wiretest.Datagram[Update](t, "update", nil)
	wiretest.Datagram[PackedBulletin](t, "packedbulletin", nil)
}
