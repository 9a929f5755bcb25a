package namingrecord

import (
	"testing"

	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood checks the row against the bytes that other builds write.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Row[[]directory.SeenVersion](t, "naming_row", nil)
}
