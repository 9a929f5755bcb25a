package namingrecord

import (
	"testing"

	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/wiretest"
)

// TestOtherBuildsAreUnderstood holds what passes to other builds to the bytes that they write.
func TestOtherBuildsAreUnderstood(t *testing.T) {
	wiretest.Row[[]directory.SeenVersion](t, "naming_row", nil)
}
