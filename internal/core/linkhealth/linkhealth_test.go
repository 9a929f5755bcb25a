package linkhealth

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// event is what a daemon observed of one address.
type event struct {
	kind    string
	address string
	at      time.Time
}

// oracle answers from the whole history of events.
type oracle struct {
	total   int
	history []event
}

// heardAt returns when anything was last heard directly.
func (o *oracle) heardAt() time.Time {
	var last time.Time
	for _, each := range o.history {
		if each.kind == "heard" || each.kind == "connected" {
			last = each.at
		}
	}
	return last
}

// sinceWorking returns the events of an address since it was last connected to, or heard while it was not down.
func (o *oracle) sinceWorking(address string) []event {
	var since []event
	for _, each := range o.history {
		switch {
		case each.address != address:
		case each.kind == "connected", each.kind == "heard" && !isDown(since):
			since = nil
		default:
			since = append(since, each)
		}
	}
	return since
}

// down reports whether another daemon reached an address after an attempt here failed.
func (o *oracle) down(address string) bool { return isDown(o.sinceWorking(address)) }

func isDown(since []event) bool {
	failed := false
	for _, each := range since {
		failed = failed || each.kind == "failed"
		if failed && each.kind == "elsewhere" {
			return true
		}
	}
	return false
}

// failures returns the first and last failure since the address last worked; false if there is none.
func (o *oracle) failures(address string) (first, last time.Time, any bool) {
	for _, each := range o.sinceWorking(address) {
		if each.kind != "failed" {
			continue
		}
		if !any {
			first = each.at
		}
		last, any = each.at, true
	}
	return first, last, any
}

func (o *oracle) isolated(addresses []string) bool {
	count := 0
	for _, address := range addresses {
		if _, last, any := o.failures(address); any && o.down(address) && last.After(o.heardAt()) {
			count++
		}
	}
	return count > 0 && count >= min(isolationLinks, o.total)
}

func (o *oracle) uncertain(addresses []string) bool {
	count := 0
	for _, address := range addresses {
		if first, _, any := o.failures(address); any && first.After(o.heardAt()) {
			count++
		}
	}
	return count >= suspicionLinks
}

// TestTrackerAgreesWithHistory compares the tracker's judgement with one made from the whole history.
func TestTrackerAgreesWithHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 6).Draw(t, "total")
		var addresses []string
		for number := range total {
			addresses = append(addresses, fmt.Sprint("back end ", number))
		}
		tracker, model := New(), &oracle{total: total}
		tracker.SetTotal(total)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			address := rapid.SampledFrom(addresses).Draw(t, "address")
			kind := rapid.SampledFrom([]string{"heard", "connected", "failed", "failed", "failed", "elsewhere", "elsewhere"}).Draw(t, "kind")
			wasDown := model.down(address)
			switch kind {
			case "heard":
				tracker.RecordActivity(now, address)
			case "connected":
				assert.Equal(t, tracker.Connected(now, address), wasDown)
			case "failed":
				tracker.Failed(now, address)
			case "elsewhere":
				_, _, failed := model.failures(address)
				assert.Equal(t, tracker.ReachedElsewhere(now, address), failed && !wasDown)
			}
			model.history = append(model.history, event{kind: kind, address: address, at: now})
			isolated := model.isolated(addresses)
			assert.Equal(t, tracker.Isolated(), isolated)
			assert.Equal(t, tracker.Uncertain(), model.uncertain(addresses))
			down := 0
			for _, each := range addresses {
				assert.Equal(t, tracker.IsDown(now, each), isolated || model.down(each))
				if model.down(each) {
					down++
				}
			}
			assert.Equal(t, tracker.Down(), down)
			assert.Equal(t, tracker.Impaired(), isolated || 2*down >= total)
		}
	})
}

// TestFailedBackEndIsNoLostLink guards against taking the end of one back end, or of all, for lost links.
func TestFailedBackEndIsNoLostLink(t *testing.T) {
	tracker := New()
	tracker.SetTotal(12)
	now := time.Unix(1000, 0)
	for number := range 12 {
		tracker.Failed(now, fmt.Sprint("back end ", number))
	}
	assert.Assert(t, !tracker.Isolated())
	assert.Assert(t, !tracker.IsDown(now, "back end 1"))
}

// TestChecksAreFewAndInTurn holds that links that are down are checked in turn, a bounded number at a time.
func TestChecksAreFewAndInTurn(t *testing.T) {
	const links = 100
	tracker := New()
	tracker.SetTotal(links)
	now := time.Unix(1000, 0)
	for number := range links {
		address := fmt.Sprint("back end ", number)
		tracker.Failed(now, address)
		tracker.ReachedElsewhere(now, address)
	}
	checked := map[string]bool{}
	for range links/maxRechecks + 1 {
		now = now.Add(recheckInterval)
		due := tracker.TakeDueChecks(now)
		assert.Assert(t, len(due) <= maxRechecks)
		for _, address := range due {
			checked[address] = true
		}
	}
	assert.Equal(t, len(checked), links)
}

// TestLinksAreCheckedOnceAfterOthersWentDown holds that each other link is to be checked once in the time after a link went down,
// unless a connection was made to it.
func TestLinksAreCheckedOnceAfterOthersWentDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New()
		tracker.SetTotal(10)
		now := time.Unix(1000, 0)
		var lastDown time.Time
		checked := map[string]bool{}
		for number := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			series := !lastDown.IsZero() && now.Sub(lastDown) <= seriesTime
			address := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address")
			switch rapid.SampledFrom([]string{"down", "ask", "ask", "connect"}).Draw(t, "step") {
			case "down":
				lost := fmt.Sprint("lost ", number)
				tracker.Failed(now, lost)
				tracker.ReachedElsewhere(now, lost)
				if !series {
					clear(checked)
				}
				lastDown = now
			case "ask":
				assert.Equal(t, tracker.ClaimCheck(now, address), series && !checked[address])
				checked[address] = checked[address] || series
			case "connect":
				tracker.Connected(now, address)
				checked[address] = checked[address] || series
			}
		}
	})
}
