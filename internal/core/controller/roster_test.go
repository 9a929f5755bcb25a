package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// TestRosterChangesAMinority lets daemons come, go and move, and proposes rosters
// on the way.
func TestRosterChangesAMinority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemon := func(index int) dynamic.Daemon {
			return dynamic.Daemon{
				ID:      identity.DaemonID(fmt.Sprintf("daemon-%02d", index)),
				Zone:    identity.Zone(fmt.Sprintf("zone-%d", rapid.IntRange(0, 2).Draw(t, "zone"))),
				Address: fmt.Sprintf("10.0.0.%d:7400", 1+index),
			}
		}
		current := dynamic.Roster{Epoch: 1}
		for index := range rapid.IntRange(1, 9).Draw(t, "size") {
			current.Daemons = append(current.Daemons, daemon(index))
		}
		now := time.Unix(0, 0)
		presence := NewPresence()
		for range 20 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
			var present []dynamic.Daemon
			active := map[identity.DaemonID]bool{}
			for index := range 12 {
				if rapid.IntRange(0, 9).Draw(t, "present") > 2 {
					one := daemon(index)
					present = append(present, one)
					active[one.ID] = rapid.IntRange(0, 9).Draw(t, "active") > 0
				}
			}
			alive, goneFor := presence.Observe(now, present, current, DefaultPresentAfter)
			input := RosterInput{Current: current, Alive: alive, GoneFor: goneFor, GoneAfter: DefaultGoneAfter, Active: active}
			next, proposed := ProposeRoster(input)
			if !proposed {
				continue
			}
			checkRosterStep(t, input, next)
			current = next
		}
	})
}

// checkRosterStep compares two rosters in a row.
func checkRosterStep(t *rapid.T, input RosterInput, next dynamic.Roster) {
	current := input.Current
	assert.Equal(t, next.Epoch, current.Epoch+1)
	kept, voting := 0, 0
	for _, daemon := range current.Daemons {
		stays := slices.Contains(next.Daemons, daemon)
		if stays {
			kept++
		}
		if input.Active[daemon.ID] {
			voting++
		}
		removed := !slices.ContainsFunc(next.Daemons, func(other dynamic.Daemon) bool { return other.ID == daemon.ID })
		assert.Assert(t, !removed || input.GoneFor[daemon.ID] >= DefaultGoneAfter, "%s lost its place", daemon.ID)
	}
	size := len(current.Daemons)
	assert.Assert(t, 2*kept > size, "%d of %d places kept", kept, size)
	assert.Assert(t, 2*voting > size, "the epoch before was not in force")
	assert.Assert(t, len(next.Daemons)-kept <= max(1, (size-1)/2), "more than a minority is new")
	assert.Assert(t, len(next.Daemons) >= min(size, smallestRoster))
	ids := map[identity.DaemonID]bool{}
	for _, daemon := range next.Daemons {
		assert.Assert(t, !ids[daemon.ID], "%s stands twice", daemon.ID)
		ids[daemon.ID] = true
	}
}

// TestRosterFollowsTheDaemons checks that a lasting change of the daemons reaches
// the roster in a few epochs, and that then nothing more is proposed.
func TestRosterFollowsTheDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 20).Draw(t, "size")
		gone := rapid.IntRange(0, min(2, (size-1)/2)).Draw(t, "gone") // no slot loses all its replicas
		added := rapid.IntRange(gone, 20).Draw(t, "added")
		var current dynamic.Roster
		input := RosterInput{GoneAfter: DefaultGoneAfter, GoneFor: map[identity.DaemonID]time.Duration{}, Active: map[identity.DaemonID]bool{}}
		for index := range size + added {
			one := dynamic.Daemon{ID: identity.DaemonID(fmt.Sprintf("daemon-%02d", index)), Zone: "rosehill"}
			if index < size {
				current.Daemons = append(current.Daemons, one)
			}
			if index < gone {
				input.GoneFor[one.ID] = time.Hour
				continue
			}
			input.Active[one.ID] = true
			input.Alive = append(input.Alive, one)
		}
		input.Current = current
		for range 2 + added {
			if next, proposed := ProposeRoster(input); proposed {
				input.Current = next
			}
		}
		assert.DeepEqual(t, input.Current.Daemons, input.Alive)
	})
}
