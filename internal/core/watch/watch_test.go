package watch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

const zone = identity.Zone("z")

func daemonsOf(ids []string) []Daemon {
	var daemons []Daemon
	for _, id := range ids {
		daemons = append(daemons, Daemon{ID: identity.DaemonID(id), Zone: zone})
	}
	return daemons
}

// Each back end has two different watchers of its zone, or all when there are
// fewer, and a daemon that goes changes nothing for what it did not watch.
func TestAssignmentIsCompleteAndChangesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 1, 12, rapid.ID[string]).Draw(t, "daemons")
		away := Daemon{ID: "other", Zone: "elsewhere"}
		backend := identity.BackendID(rapid.StringMatching("e[0-9]{1,4}").Draw(t, "backend"))
		before := NewPlan(append(daemonsOf(ids), away))
		watchers := before.Watchers(backend, zone)
		assert.Equal(t, len(watchers), min(WatchersPerBackend, len(ids)))
		for _, id := range ids {
			rank, is := before.Rank(identity.DaemonID(id), backend, zone)
			assert.Equal(t, is, slices.Contains(watchers, identity.DaemonID(id)))
			assert.Assert(t, !is || watchers[rank] == identity.DaemonID(id))
		}
		_, is := before.Rank(away.ID, backend, zone)
		assert.Assert(t, !is)

		gone := rapid.SampledFrom(ids).Draw(t, "gone")
		left := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == gone })
		after := NewPlan(append(daemonsOf(left), away)).Watchers(backend, zone)
		assert.Assert(t, len(after) > 0, "a zone without daemons is taken over")
		for _, id := range watchers {
			assert.Assert(t, string(id) == gone || slices.Contains(after, id))
		}
	})
}

// The two watchers' questions lie half an interval apart, always in the future
// and at most an interval away.
func TestWatchersAskInTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, rapid.Int64Range(0, 1e10).Draw(t, "now"))
		interval := time.Duration(rapid.Int64Range(10, 3000).Draw(t, "milliseconds")) * time.Millisecond
		backend := identity.BackendID(fmt.Sprint(rapid.Uint32().Draw(t, "backend")))
		first, second := Next(now, backend, 0, interval), Next(now, backend, 1, interval)
		for _, next := range []time.Time{first, second} {
			assert.Assert(t, next.After(now) && !next.After(now.Add(interval)))
		}
		assert.Equal(t, first.Sub(second).Abs(), interval/2)
		assert.Equal(t, Next(first, backend, 0, interval), first.Add(interval))
	})
}
