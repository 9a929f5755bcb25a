package directory

import (
	"testing"

	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood compares messages with the bytes that other builds write.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Datagram[Bulletin](t, "bulletin", nil)
	wiretest.Datagram[Snapshot](t, "snapshot", nil)
	wiretest.Datagram[Update](t, "update", nil)
	wiretest.Datagram[PackedBulletin](t, "packedbulletin", nil)
}
