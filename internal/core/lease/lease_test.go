package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/port/porttest"
)

const (
	testKey      = "lease/fleet"
	testDuration = 10 * time.Second
	testDrift    = 0.05
	holders      = 3
)

var errLost = errors.New("lost")

// flight is a call between a holder and the table.
type flight struct {
	action Action
	// applied is set once the table has answered; rows and err are the answer.
	applied bool
	rows    []port.Row
	err     error
}

// participant is one daemon with a clock of its own.
type participant struct {
	index       int
	rate        float64
	incarnation identity.Incarnation
	machine     *Machine
	flight      *flight
	// paused is set since a round in which the participant did nothing, and stood is for how
	// long its clock stood still meanwhile, if it does.
	paused bool
	stood  time.Duration
}

// world holds the true time, the table, the network and the oracle.
type world struct {
	elapsed      time.Duration
	table        *porttest.Table
	outage       bool
	participants []*participant
	// strays are calls that nobody waits for and that may still reach the table.
	strays []Action
	// effects are the tokens of what holders have sent to the fenced receiver.
	effects []identity.FencingToken
	// grantedTo is the oracle: who first believed to hold which token.
	grantedTo map[identity.FencingToken]string
	fence     Fence
	// garbled is set once another writer has overwritten the row.
	garbled bool
	// standsStill makes clocks stand still while their participants are paused, as Go's own
	// does while the machine is suspended; roundAt is when the last round was.
	standsStill bool
	roundAt     time.Duration
}

func newWorld(t *rapid.T) *world {
	w := &world{table: porttest.NewTable(), grantedTo: map[identity.FencingToken]string{}}
	for index := range holders {
		rate := 1 + testDrift*rapid.SampledFrom([]float64{-1, -0.5, 0, 1}).Draw(t, "drift")
		one := &participant{index: index, rate: rate, incarnation: identity.Incarnation(index)}
		w.participants = append(w.participants, one)
		w.restart(one)
	}
	return w
}

// now is the participant's own clock.
func (w *world) now(one *participant) time.Time {
	base := time.Unix(int64(one.index)*1_000_000, 0)
	return base.Add(time.Duration(float64(w.elapsed-one.stood) * one.rate))
}

// restart begins a new life; what the old one had sent may still arrive. The
// first two participants have the same name, as when a daemon is replaced while
// the one before it still runs.
func (w *world) restart(one *participant) {
	w.abandon(one)
	one.incarnation += holders
	one.machine = New(Settings{
		Key: testKey, Holder: identity.DaemonID(fmt.Sprintf("daemon-%d", one.index/2)),
		Incarnation: one.incarnation, Duration: testDuration, MaximumDrift: testDrift,
	})
}

func (w *world) abandon(one *participant) {
	if one.flight != nil && !one.flight.applied {
		w.strays = append(w.strays, one.flight.action)
	}
	one.flight = nil
}

// apply lets the table carry out a call.
func (w *world) apply(action Action) ([]port.Row, error) {
	if w.outage {
		return nil, &port.UnavailableError{Service: "table"}
	}
	switch call := action.(type) {
	case Read:
		return w.table.Read([]string{call.Key}), nil
	case Commit:
		rows, committed := w.table.Commit(call.Transaction)
		if !committed {
			return nil, &port.ConflictError{Current: rows}
		}
		return rows, nil
	}
	panic("unknown action")
}

// deliver gives a participant the result of its call.
func (w *world) deliver(one *participant, rows []port.Row, err error) error {
	action := one.flight.action
	one.flight = nil
	var problem error
	if _, reads := action.(Read); reads {
		problem = one.machine.ReadDone(w.now(one), rows, err)
	} else {
		problem = one.machine.CommitDone(w.now(one), rows, err)
	}
	var malformed *MalformedError
	if w.garbled && errors.As(problem, &malformed) {
		return nil
	}
	return problem
}

// garble overwrites the row as another writer might.
func (w *world) garble(value string) {
	w.garbled = true
	w.table.Commit(port.Transaction{Writes: []port.Write{{Key: testKey, Value: []byte(value)}}})
}

func (w *world) tick(one *participant) {
	if action := one.machine.Tick(w.now(one)); action != nil {
		one.flight = &flight{action: action}
	}
}

// check is the oracle: at most one participant believes to hold the lease, and a
// token belongs to one life of one daemon and grows from holder to holder.
func (w *world) check(t *rapid.T) {
	var believers []string
	for _, one := range w.participants {
		grant := one.machine.Grant()
		if !grant.ValidAt(w.now(one)) {
			continue
		}
		name := fmt.Sprintf("participant %d, life %d", one.index, one.incarnation)
		believers = append(believers, name)
		if owner, granted := w.grantedTo[grant.Token]; granted {
			assert.Equal(t, owner, name, "token %d", grant.Token)
			continue
		}
		for earlier := range w.grantedTo {
			assert.Assert(t, grant.Token > earlier, "token %d after %d", grant.Token, earlier)
		}
		w.grantedTo[grant.Token] = name
	}
	assert.Assert(t, len(believers) <= 1, "holders at one time: %v", believers)
}

// fate is what happens to a participant's calls during some rounds.
type fate int

const (
	answered fate = iota
	// paused: the participant does nothing, and answers wait for it.
	paused
	// cut: its calls are lost on their way to the table.
	cut
	// deaf: its calls take effect, but their answers are lost.
	deaf
	// slow: its calls take effect at once, and their answers wait.
	slow
	fateCount
)

// round lets each participant make one call, each with its fate.
func (w *world) round(t *rapid.T, fates []fate) {
	passed := w.elapsed - w.roundAt
	w.roundAt = w.elapsed
	for index, one := range w.participants {
		if one.paused && w.standsStill {
			one.stood += passed
		}
		one.paused = fates[index] == paused
	}
	for index, one := range w.participants {
		if fates[index] == paused {
			continue
		}
		if one.flight == nil {
			w.tick(one)
		}
		if one.flight != nil {
			w.carry(t, one, fates[index])
		}
		w.check(t)
	}
}

// carry brings a participant's call to its fate.
func (w *world) carry(t *rapid.T, one *participant, fate fate) {
	call := one.flight
	if !call.applied && fate != cut {
		call.rows, call.err = w.apply(call.action)
		call.applied = true
	}
	switch fate {
	case answered:
		assert.NilError(t, w.deliver(one, call.rows, call.err))
	case cut, deaf:
		if !call.applied {
			w.strays = append(w.strays, call.action)
		}
		assert.NilError(t, w.deliver(one, nil, &port.OutcomeUnknownError{Cause: errLost}))
	}
}

// TestAtMostOneHolder runs holders with clocks of different rates through pauses,
// restarts, lost and late answers, repeated commits, table outages and a row that another writer overwrites.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		pick := func(t *rapid.T) *participant {
			return w.participants[rapid.IntRange(0, holders-1).Draw(t, "participant")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"rounds": func(t *rapid.T) {
				fates := drawFates(t)
				pace := testDuration / time.Duration(rapid.SampledFrom([]int{3, 8, 20, 50}).Draw(t, "pace"))
				for range rapid.IntRange(1, 25).Draw(t, "count") {
					w.round(t, fates)
					w.elapsed += pace
					w.check(t)
				}
			},
			"isolate": func(t *rapid.T) {
				fates := w.isolateHolder(fate(rapid.IntRange(1, int(fateCount)-1).Draw(t, "fate")))
				for range 60 {
					w.round(t, fates)
					w.elapsed += testDuration / 50
					w.check(t)
				}
			},
			"advance": func(t *rapid.T) {
				w.elapsed += time.Duration(rapid.Int64Range(0, int64(testDuration)*5/4).Draw(t, "by"))
			},
			"repeat": func(t *rapid.T) {
				one := pick(t)
				if one.flight == nil {
					t.Skip("no call")
				}
				w.strays = append(w.strays, one.flight.action)
			},
			"stray": func(t *rapid.T) {
				if len(w.strays) == 0 {
					t.Skip("no strays")
				}
				index := rapid.IntRange(0, len(w.strays)-1).Draw(t, "stray")
				_, _ = w.apply(w.strays[index]) // nobody waits for the answer
			},
			"work": func(t *rapid.T) {
				one := pick(t)
				if grant := one.machine.Grant(); grant.ValidAt(w.now(one)) {
					w.effects = append(w.effects, grant.Token)
				}
			},
			"receive": func(t *rapid.T) {
				if len(w.effects) == 0 {
					t.Skip("no effects")
				}
				index := rapid.IntRange(0, len(w.effects)-1).Draw(t, "effect")
				token, newest := w.effects[index], w.fence.Newest()
				assert.Equal(t, w.fence.Admit(token), token >= newest)
			},
			"restart": func(t *rapid.T) { w.restart(pick(t)) },
			"want":    func(t *rapid.T) { pick(t).machine.Want(rapid.IntRange(0, 4).Draw(t, "want") > 0) },
			"outage":  func(t *rapid.T) { w.outage = !w.outage },
			"garble": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					w.garble(rapid.SampledFrom([]string{"", "{", "null and void", `{"holder":7}`, `[1]`, "null", "{}", `{"holder":"daemon-0","token":1}`, "\xff"}).Draw(t, "value"))
				}
			},
			"": w.check,
		})
		w.settle(t)
	})
}

// isolateHolder gives the present holder a fate, and lets all others work.
func (w *world) isolateHolder(chosen fate) []fate {
	fates := make([]fate, holders)
	for index, one := range w.participants {
		if one.machine.Grant().ValidAt(w.now(one)) {
			fates[index] = chosen
		}
	}
	return fates
}

// drawFates draws a fate for each participant; half of them are answered.
func drawFates(t *rapid.T) []fate {
	fates := make([]fate, holders)
	for index := range fates {
		if rapid.Bool().Draw(t, "faulty") {
			fates[index] = fate(rapid.IntRange(0, int(fateCount)-1).Draw(t, "fate"))
		}
	}
	return fates
}

// settle ends all faults and checks that the lease finds exactly one holder.
func (w *world) settle(t *rapid.T) {
	w.outage = false
	for _, one := range w.participants {
		one.machine.Want(true)
		if one.flight != nil {
			w.strays = append(w.strays, one.flight.action)
			assert.NilError(t, w.deliver(one, nil, &port.OutcomeUnknownError{Cause: errLost}))
		}
	}
	for range 3 * retryFraction {
		w.round(t, make([]fate, holders))
		w.elapsed += testDuration / retryFraction
	}
	held := 0
	for _, one := range w.participants {
		if one.machine.Grant().ValidAt(w.now(one)) {
			held++
		}
	}
	assert.Equal(t, held, 1, "holders after the faults ended")
}

// TestTokensRiseWhereTheTableComesBackOlder lets a holder's row be lost with the table's return: the next holder's token is
// greater all the same, and it acts only once the lost one can't any more and the rest is over.
func TestTokensRiseWhereTheTableComesBackOlder(t *testing.T) {
	era := uint64(0)
	settings := Settings{Key: testKey, Holder: "next", Duration: testDuration, MaximumDrift: testDrift, HandoverDelay: 3 * time.Second, Era: func() uint64 { return era }}
	next := New(settings)
	next.Want(true)
	now := time.Unix(1000, 0)
	assert.Assert(t, next.Tick(now) != nil) // reads no row
	assert.NilError(t, next.ReadDone(now, nil, nil))
	era = 1
	now = now.Add(time.Second)
	took, commits := next.Tick(now).(Commit)
	assert.Assert(t, commits)
	assert.NilError(t, next.CommitDone(now, []port.Row{{Key: testKey, Value: took.Transaction.Writes[0].Value, Version: port.PositionOf(1, 5)}}, nil))
	grant := next.Grant()
	assert.Assert(t, uint64(grant.Token) > 1<<32, "%d", grant.Token)
	assert.Assert(t, !grant.ActFrom.Before(now.Add(settings.actWithin()+settings.rest())), "%s", grant.ActFrom.Sub(now))
}
