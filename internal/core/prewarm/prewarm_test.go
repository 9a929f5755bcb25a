package prewarm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/config/dynamic"
)

// However often the planner is asked, a prefix is computed within the lead before
// its event, never outside, never twice within the repeat time, and last so near
// the start that it can still be held.
func TestPrefixesAreComputedShortlyBeforeTheStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		document := &dynamic.Document{Events: []dynamic.Event{{
			Name: "race", Start: start, End: start.Add(time.Hour),
			Models:   []dynamic.EventModel{{Model: "coach", Engines: rapid.IntRange(0, 9).Draw(t, "engines")}},
			Prefixes: []dynamic.EventPrefix{{Model: "coach", ObjectKey: "log"}, {Model: "coach", ObjectKey: "rules"}},
		}}}
		planner := NewPlanner()
		asked := map[string][]time.Time{}
		longestStep := time.Second
		now := start.Add(-time.Minute)
		for now.Before(start.Add(time.Minute)) {
			for _, task := range planner.Due(now, document) {
				assert.Assert(t, task.Engines >= 1)
				asked[task.Prefix.ObjectKey] = append(asked[task.Prefix.ObjectKey], now)
			}
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(longestStep)).Draw(t, "step")))
		}
		for _, object := range []string{"log", "rules"} {
			times := asked[object]
			assert.Assert(t, len(times) > 0, "%s was never computed", object)
			assert.Assert(t, !times[0].Before(start.Add(-Lead)))
			last := times[len(times)-1]
			assert.Assert(t, last.Before(start) && start.Sub(last) <= RepeatAfter+longestStep, "last %s before", start.Sub(last))
			for index := 1; index < len(times); index++ {
				assert.Assert(t, times[index].Sub(times[index-1]) >= RepeatAfter)
			}
		}
	})
}
