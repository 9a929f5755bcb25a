package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// contactPlay is a contact whose others are heard or not, as a test says.
type contactPlay struct {
	contact
	now    time.Time
	others []string
	silent map[string]bool
	window time.Duration
}

func newContactPlay(daemons int) *contactPlay {
	made := &contactPlay{now: time.Unix(1_000_000, 0), silent: map[string]bool{}, window: contactWindow(daemons)}
	for number := range daemons - 1 {
		made.others = append(made.others, fmt.Sprint("d", number))
	}
	return made
}

// goOn checks contact for a time.
func (p *contactPlay) goOn(duration time.Duration) {
	for end := p.now.Add(duration); p.now.Before(end); {
		p.now = p.now.Add(min(contactInterval, end.Sub(p.now)))
		p.look()
	}
}

// notice goes on until others that have just become silent are no longer heard.
func (p *contactPlay) notice() { p.goOn(p.window + 2*contactInterval) }

func (p *contactPlay) look() {
	p.check(p.now, p.others, func(address string) time.Time {
		if p.silent[address] {
			return time.Time{}
		}
		return p.now
	})
}

// silence makes some more of the others silent.
func (p *contactPlay) silence(count int) {
	for _, address := range p.others {
		if count > 0 && !p.silent[address] {
			p.silent[address] = true
			count--
		}
	}
}

func (p *contactPlay) lost() bool { return p.missed(p.now) }

// verify looks at the store a moment later.
func (p *contactPlay) verify() {
	p.now = p.now.Add(time.Millisecond)
	p.verifiedAt = p.now
}

// contactFleets are the sizes of fleets, and how many others may be lost at once without loss of contact.
var contactFleets = []struct{ daemons, spared int }{{2, 0}, {3, 1}, {4, 1}, {7, 3}, {300, 149}}

func forContactFleets(t *testing.T, test func(t *testing.T, play *contactPlay, spared int)) {
	for _, each := range contactFleets {
		t.Run(fmt.Sprint(each.daemons), func(t *testing.T) {
			play := newContactPlay(each.daemons)
			play.goOn(2 * play.window)
			assert.Assert(t, !play.lost(), "all are heard")
			assert.Equal(t, play.counted, len(play.others))
			test(t, play, each.spared)
		})
	}
}

// TestContactIsLostWithHalfOfTheDaemonsAtOnce guards against daemons that take a minority's list for what all know.
func TestContactIsLostWithHalfOfTheDaemonsAtOnce(t *testing.T) {
	forContactFleets(t, func(t *testing.T, play *contactPlay, spared int) {
		play.silence(spared)
		play.goOn(10 * play.window)
		assert.Assert(t, !play.lost(), "%d of %d others are lost at once", spared, len(play.others))
		again := newContactPlay(len(play.others) + 1)
		again.goOn(2 * again.window)
		again.silence(spared + 1)
		again.notice()
		assert.Assert(t, again.lost(), "%d of %d others are lost at once", spared+1, len(again.others))
	})
}

// TestContactIsLostWithDaemonsOfOneMoment guards against counting daemons that are lost in several checks of one moment one by one: half
// of them may know what this one doesn't.
func TestContactIsLostWithDaemonsOfOneMoment(t *testing.T) {
	forContactFleets(t, func(t *testing.T, play *contactPlay, spared int) {
		checks := int((contactGrace-1)*play.window/contactInterval) - 2
		perCheck := (spared + checks) / checks
		for lost := 0; lost < spared; lost += perCheck {
			play.silence(min(perCheck, spared-lost))
			play.goOn(contactInterval)
			assert.Assert(t, !play.lost(), "%d are lost", lost+perCheck)
		}
		play.silence(1)
		play.notice()
		assert.Assert(t, play.lost(), "%d are lost", spared+1)
	})
}

// TestContactIsKeptWhileDaemonsAreLostOneByOne guards against refusing streams of a single version because most daemons ended in turn.
func TestContactIsKeptWhileDaemonsAreLostOneByOne(t *testing.T) {
	forContactFleets(t, func(t *testing.T, play *contactPlay, _ int) {
		for left := len(play.others) - 1; left > 0; left-- {
			play.silence(1)
			play.goOn(contactGrace*play.window + 2*contactInterval)
			assert.Assert(t, !play.lost(), "%d of %d others are left", left, len(play.others))
			assert.Equal(t, play.counted, left)
		}
		play.silence(1)
		play.notice()
		assert.Assert(t, play.lost(), "a daemon that hears no other one is out of contact")
		play.verify()
		play.goOn(20 * play.window)
		assert.Assert(t, play.lost(), "it stays so, though the lost ones no longer count")
		assert.Equal(t, play.counted, 0)
	})
}

// TestContactIsLostWhileADaemonStandsStill guards against trusting the list of before a pause.
func TestContactIsLostWhileADaemonStandsStill(t *testing.T) {
	forContactFleets(t, func(t *testing.T, play *contactPlay, _ int) {
		play.now = play.now.Add(maxContactGap)
		play.look()
		assert.Assert(t, !play.lost(), "a pause as long as it may be")
		play.now = play.now.Add(maxContactGap + time.Millisecond)
		play.look()
		assert.Assert(t, play.lost(), "a longer pause")
		play.goOn(10 * play.window)
		assert.Assert(t, play.lost(), "others that are heard again don't bring back what was missed")
		assert.Assert(t, play.now.Sub(play.missedAt) >= 10*play.window, "contact was lost once")
		play.verify()
		play.goOn(10 * play.window)
		assert.Assert(t, !play.lost())
	})
}

// TestContactGrowsWithTheFleet guards against taking daemons that return, or that were never heard, for lost ones or for present ones.
func TestContactGrowsWithTheFleet(t *testing.T) {
	forContactFleets(t, func(t *testing.T, play *contactPlay, spared int) {
		for range spared {
			play.silence(1)
			play.goOn(contactGrace*play.window + 2*contactInterval)
		}
		clear(play.silent)
		play.goOn(contactInterval)
		assert.Equal(t, play.counted, len(play.others), "all that are heard again count at once")
		play.silence(spared + 1)
		play.notice()
		assert.Assert(t, play.lost(), "half of the grown fleet is lost")
	})
}

// TestStartingDaemonCountsThoseThatItHears guards against daemons that are out of contact from their start on, because some of the others
// have ended before.
func TestStartingDaemonCountsThoseThatItHears(t *testing.T) {
	for _, each := range contactFleets {
		t.Run(fmt.Sprint(each.daemons), func(t *testing.T) {
			play := newContactPlay(each.daemons)
			play.silence(len(play.others))
			play.look()
			assert.Assert(t, play.lost(), "a daemon that starts has heard nobody")
			delete(play.silent, play.others[0])
			play.verify()
			play.goOn(10 * play.window)
			assert.Assert(t, !play.lost(), "those that were never heard don't count")
			assert.Equal(t, play.counted, 1)
		})
	}
}

// TestLoneDaemonIsInContact checks that a fleet of one has nobody to lose.
func TestLoneDaemonIsInContact(t *testing.T) {
	play := newContactPlay(1)
	play.goOn(10 * play.window)
	assert.Assert(t, !play.lost())
	play.now = play.now.Add(maxContactGap + time.Millisecond)
	play.look()
	assert.Assert(t, play.lost())
}
