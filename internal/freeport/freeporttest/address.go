// Package freeporttest gives tests free addresses.
package freeporttest

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/freeport"
)

// Address returns an address, IP:port, on which nobody listens.
func Address(t *testing.T) string {
	t.Helper()
	port, err := freeport.Choose()
	assert.NilError(t, err)
	return freeport.Address(port)
}
