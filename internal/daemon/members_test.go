package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/membership"
)

// The control loop publishes the members five times a second for their revisions.
// That alone must not have the watched back ends assigned anew.
func TestOnlyAChangeOfWhoIsThereIsTold(t *testing.T) {
	directory := newMemberDirectory("a", 1)
	told := func() bool {
		select {
		case <-directory.changed:
			return true
		default:
			return false
		}
	}
	alone := []membership.Member{{ID: "a", Zone: "1"}}
	both := []membership.Member{{ID: "a", Zone: "1"}, {ID: "b", Zone: "1", Revision: 1}}
	newer := []membership.Member{{ID: "a", Zone: "1"}, {ID: "b", Zone: "1", Revision: 2}}
	suspect := []membership.Member{{ID: "a", Zone: "1"}, {ID: "b", Zone: "1", State: membership.StateSuspect}}
	moved := []membership.Member{{ID: "a", Zone: "1"}, {ID: "b", Zone: "2"}}
	dead := []membership.Member{{ID: "a", Zone: "1"}, {ID: "b", Zone: "2", State: membership.StateDead}}
	steps := []struct {
		members []membership.Member
		told    bool
	}{{alone, true}, {alone, false}, {both, true}, {newer, false}, {suspect, false}, {moved, true}, {dead, true}, {dead, false}, {alone, true}}
	told()
	for index, step := range steps {
		directory.publish(step.members)
		assert.Equal(t, told(), step.told, "step %d", index)
		assert.Equal(t, len(directory.All()), len(step.members), "step %d", index)
	}
	directory.publish(both)
	told()
	directory.publish(newer)
	assert.Equal(t, directory.All()[1].Revision, newer[1].Revision)
}
