package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	// silencePause lies between two silences of a series.
	silencePause = 1500 * time.Millisecond
	// silenceMoment is how soon after a silence requests must be served as before, within silenceServed.
	silenceMoment = 500 * time.Millisecond
	silenceServed = time.Second
)

// newSilencePlay starts three daemons, whose callers ask for pages and for streams of 300 ms.
func newSilencePlay(t *testing.T) *linkLoss { return newLinkLossWith(t, 3, 0, 30, 10*time.Millisecond) }

// silenceBackEnds lets some back ends send and receive nothing, as seen by all daemons, a number of times. It returns when each
// of these times ended, and stops the callers.
func (l *linkLoss) silenceBackEnds(silent []*standin.Runner, lasts time.Duration, times int) []time.Time {
	l.reached.Clear()
	for _, runner := range silent {
		l.reached.Store(runner.Address(), true)
	}
	var ends []time.Time
	for range times {
		for _, daemon := range l.daemons {
			daemon.gateway.CutOff(standin.CutSilent)
		}
		time.Sleep(lasts)
		for _, daemon := range l.daemons {
			daemon.gateway.Heal()
		}
		ends = append(ends, time.Now())
		time.Sleep(silencePause)
	}
	l.stopAsking()
	return ends
}

// checkRanOnce holds that no request ran again, also of those that may.
func (l *linkLoss) checkRanOnce() {
	l.t.Helper()
	ran := l.runs()
	var again []string
	for id, count := range ran {
		if count > 1 {
			again = append(again, fmt.Sprintf("%s %d times", id, count))
		}
	}
	assert.Check(l.t, len(again) == 0, "%d of %d requests ran again: %s", len(again), len(ran), firstOf(again))
}

// checkServedAfter holds that requests sent a moment after a silence are served as before it.
func (l *linkLoss) checkServedAfter(ends []time.Time) {
	l.t.Helper()
	for _, one := range l.asked {
		for _, end := range ends {
			since := one.from.Sub(end)
			if since < silenceMoment || since > silencePause-silenceServed/2 {
				continue
			}
			took := one.to.Sub(one.from)
			assert.Check(l.t, took <= silenceServed, "%s, sent %s after a silence, took %s", one.call.id, since, took)
		}
	}
}

// TestSilentBackEndsAreNoLostLinks guards against daemons that take their own links for lost because sound back ends were
// silent for a moment.
func TestSilentBackEndsAreNoLostLinks(t *testing.T) {
	t.Parallel()
	play := newSilencePlay(t)
	play.silenceBackEnds(play.runners, time.Second, 2)
	for _, daemon := range play.daemons {
		assert.Check(t, !strings.Contains(daemon.log(), "The link to a back end is down"), "at %s", daemon.name)
	}
	play.checkOnce()
	play.checkNoBlame()
}

// TestSilentBackEndsLoseNoRequest guards against sound back ends that are taken for ended while they are silent for a moment.
func TestSilentBackEndsLoseNoRequest(t *testing.T) {
	t.Parallel()
	for _, lasts := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		for _, times := range []int{1, 3} {
			for _, all := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %d times all %t", lasts, times, all), func(t *testing.T) {
					play := newSilencePlay(t)
					silent := play.runners[:2]
					if all {
						silent = play.runners
					}
					ends := play.silenceBackEnds(silent, lasts, times)
					play.checkServed(t)
					play.checkServedAfter(ends)
					play.checkRanOnce()
					play.checkOnce()
					play.checkNoBlame()
				})
			}
		}
	}
}
