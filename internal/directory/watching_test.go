package directory

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// heldSource answers a held call as soon as the operators' rows have changed.
type heldSource struct{ *clockedSource }

// DeclaredChanges implements Source.
func (s *heldSource) DeclaredChanges(ctx context.Context, after uint64, wait time.Duration) (DeclaredChange, error) {
	until := time.Now().Add(wait)
	for ctx.Err() == nil && time.Now().Before(until) {
		declared, err := s.Declared(ctx)
		if err != nil || declared.Version > after {
			return DeclaredChange{Reading: declared.Reading, Changed: err == nil}, err
		}
		time.Sleep(2 * time.Millisecond)
	}
	return DeclaredChange{}, ctx.Err()
}

// TestChangeIsHeardAtOnce checks that a configuration is in force long before the next check, and that the time for
// old weights counts from about their end rather than from the last check.
func TestChangeIsHeardAtOnce(t *testing.T) {
	t.Parallel()
	source := &memorySource{declared: declaration(10, 7)}
	source.declared.Versions["m"] = 1
	reading := &heldSource{&clockedSource{memorySource: source, start: time.Now()}}
	directory := New(Options{Source: reading, Pool: backendpool.New("a"), Log: logging.Discard(), Interval: 3 * time.Second})
	go func() { _ = directory.Run(t.Context()) }()
	poll.WaitOn(t, inForce(directory, 7))
	time.Sleep(watchPause + maxTransitTime + maxAnswerTime + 200*time.Millisecond)
	named := time.Now()
	source.set(func(s *memorySource) {
		s.declared = declaration(11, 8)
		s.declared.Versions["m"] = 2
		s.declared.VersionRows = map[identity.ModelName]uint64{"m": 11}
	})
	poll.WaitOn(t, inForce(directory, 8), poll.WithTimeout(300*time.Millisecond), poll.WithDelay(2*time.Millisecond))
	bound := directory.State().BeginBy("m", 1, time.Time{}, 0)
	assert.Assert(t, !bound.After(named), "%s too late", bound.Sub(named))
	assert.Assert(t, named.Sub(bound) < maxAnswerTime+50*time.Millisecond, "%s too early", named.Sub(bound))
}

// TestHeldCallsTellWhenAVersionWasNotNamed checks that a version counts from the answer to a held call that reached
// the store before the naming, and never from later than the naming.
func TestHeldCallsTellWhenAVersionWasNotNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const grace = 9 * time.Second
		draw := func(name string, most time.Duration) time.Duration {
			tenths := rapid.SampledFrom([]int{0, 1, 3, 5, 8, 9}).Draw(t, name+", tenths")
			return most/10*time.Duration(tenths) + time.Duration(rapid.Int64Range(0, int64(most/10)).Draw(t, name))
		}
		world := newNamingSimulation(t, time.Now().Add(-12*time.Second))
		checked := world.began.Add(10 * time.Second)
		world.reader.apply(message{table: tableDeclared, began: checked, ended: checked, checked: world.reader.rows})
		named := checked.Add(1 + draw("named after the check", time.Second))
		// The call may be sent before or after the naming; the store answers promptly.
		sent := checked.Add(draw("sent after the check", time.Second))
		arrived := sent.Add(draw("way", maxTransitTime))
		answered := later(named, arrived).Add(draw("answer", maxAnswerTime))
		world.reader.apply(message{began: sent, told: &heldAnswer{after: 10, change: DeclaredChange{
			Reading: Reading{Version: rowOfNaming, Clock: world.clockAtBegin + answered.Sub(world.began)}, Changed: true,
		}}})
		read := world.reading(answered.Add(10*time.Millisecond), 2)
		read.declared.VersionRows = map[identity.ModelName]uint64{"m": rowOfNaming}
		world.reader.apply(read)
		bound := world.reader.State().BeginBy("m", 1, time.Time{}, grace)
		assert.Assert(t, !bound.After(named.Add(grace)), "%s too late", bound.Sub(named.Add(grace)))
		if named.Sub(sent) > 2*maxTransitTime+maxAnswerTime+300*time.Millisecond {
			assert.Assert(t, named.Add(grace).Sub(bound) <= maxAnswerTime+300*time.Millisecond, "%s too early", named.Add(grace).Sub(bound))
		}
	})
}
