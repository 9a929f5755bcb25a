package peerlink_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// Each daemon stands once in its region, and a list that is replaced is sorted anew.
func TestGroupsFollowTheList(t *testing.T) {
	regions := map[string]identity.Region{"self": "east", "a": "east", "b": "west"}
	others := []string{"a", "b", "unknown"}
	groups := peerlink.NewGroups("self", func(address string) identity.Region { return regions[address] })

	first := groups.Of(others)
	assert.DeepEqual(t, first.All, []string{"a", "b", "unknown", "self"})
	assert.DeepEqual(t, first.ByRegion, map[identity.Region][]string{"east": {"a", "self"}, "west": {"b"}, "": {"unknown"}})
	assert.Assert(t, groups.Of(others) == first)

	regions["unknown"] = "west"
	others = []string{"a", "b", "unknown"}
	assert.DeepEqual(t, groups.Of(others).ByRegion, map[identity.Region][]string{"east": {"a", "self"}, "west": {"b", "unknown"}})
}
