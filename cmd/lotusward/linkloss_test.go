package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/platform/standin"
)

// gatewayVariable names the gateway that carries a daemon's connections.
const gatewayVariable = "LOTUSWARD_TEST_GATEWAY"

// gatewayDial opens the connections of a daemon that has a gateway; nil without one.
func gatewayDial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if gateway := os.Getenv(gatewayVariable); gateway != "" {
		return standin.DialThrough(gateway)
	}
	return nil
}

// newGateway starts a gateway that can cut a daemon off from the back ends.
func (d *deployment) newGateway() *standin.Gateway {
	gateway, err := standin.NewGateway(func(address string) bool {
		_, found := d.reached.Load(address)
		return found
	})
	assert.NilError(d.t, err)
	d.t.Cleanup(gateway.Close)
	return gateway
}

// linkLossAll also plays sixteen daemons, of which a whole zone is cut off, and weights with each way of cutting. By hand:
//
//	go test ./cmd/lotusward -run 'DaemonsWith|DaemonsHaveNoLinks|LossOfAllLinks' -linkloss.all -timeout 20m
var linkLossAll = flag.Bool("linkloss.all", false, "also play lost links with sixteen daemons, and all cases of weights")

// linkLossPlaying bounds the plays at a time. Beside each other, their open-loop callers overload the machine with the race
// detector.
var linkLossPlaying = make(chan struct{}, 1)

const (
	linkLossBackends = 6
	// linkLossInterval is the interval of each daemon's requests: 17 a second.
	linkLossInterval = 59 * time.Millisecond
	// linkLossContact is contactMs of these deployments, after which callers of daemons without links must be served.
	linkLossContact = 3 * time.Second
	linkLossCut     = 6 * time.Second
)

// linkLoss is a play in which some daemons lose their links to all back ends.
type linkLoss struct {
	*deployment
	callers
	daemons []*process
	// cutOff are the daemons without links, from cutAt to healedAt.
	cutOff          []*process
	cutAt, healedAt time.Time
}

// newLinkLoss starts daemons in three zones and sends requests to each. The first ones lose their links.
func newLinkLoss(t *testing.T, daemons, cutOff int) *linkLoss {
	return newLinkLossWith(t, daemons, cutOff, 2, time.Millisecond)
}

// newLinkLossWith does so with streams of a number of events and a pause before each.
func newLinkLossWith(t *testing.T, daemons, cutOff, events int, pause time.Duration) *linkLoss {
	linkLossPlaying <- struct{}{}
	t.Cleanup(func() { <-linkLossPlaying })
	made := &deployment{t: t, store: standin.NewStore()}
	t.Cleanup(made.store.Close)
	play := &linkLoss{deployment: made, callers: newCallers()}
	play.gateways, play.interval = true, linkLossInterval
	play.bounds = strings.Replace(defaultBounds, "contactMs: 300", "contactMs: 3000", 1)
	play.bounds = strings.Replace(play.bounds, "revokeMs: 1500", "revokeMs: 60000", 1)
	for number := range linkLossBackends {
		play.page(fmt.Sprint("p", number))
		play.engine(fmt.Sprint("e", number), events, pause)
	}
	play.configure(testKey)
	play.name(1)
	for number := range daemons {
		play.zone = string("abc"[number*3/daemons])
		play.daemons = append(play.daemons, play.daemon(fmt.Sprint("d", number), true))
	}
	play.cutOff = play.daemons[:cutOff]
	for _, daemon := range play.daemons {
		play.askEvenly(daemon.name, func() *process { return daemon })
	}
	time.Sleep(time.Second)
	return play
}

// cut cuts the daemons off for a time.
func (l *linkLoss) cut(how standin.Cut, during func()) {
	l.cutAt = time.Now()
	for _, daemon := range l.cutOff {
		daemon.gateway.CutOff(how)
	}
	during()
	time.Sleep(time.Until(l.cutAt.Add(linkLossCut)))
	for _, daemon := range l.cutOff {
		daemon.gateway.Heal()
	}
	l.healedAt = time.Now()
	time.Sleep(time.Second)
	l.stopAsking()
}

// firstTries summarizes the requests of some daemons' callers.
type firstTries struct {
	count, served int
	median        time.Duration
	lost          []string
}

func (f firstTries) share() float64 { return float64(f.served) / float64(max(f.count, 1)) }

// triesOf returns the first tries that were sent to some daemons between two moments.
func (l *linkLoss) triesOf(daemons []*process, from, to time.Time) firstTries {
	var tries firstTries
	var took []time.Duration
	for _, one := range l.asked {
		if one.from.Before(from) || one.from.After(to) || !slices.Contains(daemons, one.at) {
			continue
		}
		tries.count++
		if one.got.err == nil && one.got.status == http.StatusOK {
			tries.served++
			took = append(took, one.to.Sub(one.from))
			continue
		}
		tries.lost = append(tries.lost, fmt.Sprintf("%s at %s after %s: %d %v, as %s", one.call.path, one.at.name,
			one.from.Sub(l.cutAt), one.got.status, one.got.err, one.at.reasonOf(one.call.id)))
	}
	slices.Sort(took)
	if len(took) > 0 {
		tries.median = took[len(took)/2]
	}
	return tries
}

// checkTries holds the callers of the daemons without links against the others.
func (l *linkLoss) checkTries() {
	l.t.Helper()
	others := l.daemons[len(l.cutOff):]
	for _, bound := range []struct {
		since time.Duration
		share float64
	}{{time.Second, 0.9}, {linkLossContact, 0.98}} {
		from := l.cutAt.Add(bound.since)
		cut, rest := l.triesOf(l.cutOff, from, l.healedAt), l.triesOf(others, from, l.healedAt)
		l.t.Logf("from %s: %d of %d served at daemons without links, median %s; %d of %d at the others, median %s",
			bound.since, cut.served, cut.count, cut.median, rest.served, rest.count, rest.median)
		assert.Check(l.t, cut.share() >= bound.share*rest.share(), "daemons without links, from %s: %s", bound.since, firstOf(cut.lost))
		assert.Check(l.t, rest.share() >= 0.98, "the others, from %s: %s", bound.since, firstOf(rest.lost))
		if bound.since == linkLossContact {
			assert.Check(l.t, cut.median <= 3*rest.median, "median %s against %s", cut.median, rest.median)
		}
	}
	before := l.triesOf(others, l.cutAt, l.cutAt.Add(time.Second))
	assert.Check(l.t, before.share() >= 0.98, "the others in the first second: %s", firstOf(before.lost))
}

// runs returns how often each request was run, by its ID.
func (l *linkLoss) runs() map[string]int {
	ran := map[string]int{}
	for _, runner := range l.runners {
		for _, arrival := range runner.Arrivals() {
			if arrival.Ran {
				ran[arrival.ID]++
			}
		}
	}
	return ran
}

// checkOnce holds that no request that may run once was run twice, or ran though it was said not to.
func (l *linkLoss) checkOnce() {
	l.t.Helper()
	ran := l.runs()
	for _, one := range l.asked {
		if !strings.HasPrefix(one.call.path, "/unsafe") && !strings.HasPrefix(one.call.path, "/once") {
			continue
		}
		count := ran[one.call.id]
		assert.Check(l.t, count <= 1, "%s ran %d times", one.call.id, count)
		assert.Check(l.t, one.got.status != http.StatusServiceUnavailable || count == 0, "%s was said not to have run", one.call.id)
	}
}

// checkNoBlame holds that no request was quarantined, since no back end ended.
func (l *linkLoss) checkNoBlame() {
	l.t.Helper()
	for _, daemon := range l.daemons {
		assert.Check(l.t, !strings.Contains(daemon.log(), "A request is quarantined"), "at %s", daemon.name)
	}
}

// TestCallersOfDaemonsWithoutLinksAreServed guards against callers who wait or are refused at a daemon that reaches no back
// end, while other daemons reach all of them.
func TestCallersOfDaemonsWithoutLinksAreServed(t *testing.T) {
	t.Parallel()
	for row, size := range []struct{ cutOff, daemons int }{{2, 6}, {5, 6}, {6, 16}} {
		for _, how := range []standin.Cut{standin.CutSilent, standin.CutReset, standin.CutKept} {
			if row == 2 && !*linkLossAll {
				continue
			}
			t.Run(fmt.Sprintf("%d of %d, %s", size.cutOff, size.daemons, how), func(t *testing.T) {
				play := newLinkLoss(t, size.daemons, size.cutOff)
				play.cut(how, func() {})
				play.checkTries()
				play.checkOnce()
				play.checkNoBlame()
			})
		}
	}
}

// TestCallersOfDaemonsWithFewLinksAreServed guards against daemons that reach one back end of each kind and crowd there, or
// offer help for others that they don't reach.
func TestCallersOfDaemonsWithFewLinksAreServed(t *testing.T) {
	t.Parallel()
	for _, cutOff := range []int{5, 2} {
		for _, how := range []standin.Cut{standin.CutSilent, standin.CutReset} {
			t.Run(fmt.Sprintf("%d of 6, %s", cutOff, how), func(t *testing.T) {
				play := newLinkLoss(t, 6, cutOff)
				for _, kept := range play.runners[:2] {
					play.reached.Delete(kept.Address())
				}
				play.cut(how, func() {})
				play.checkTries()
				play.checkOnce()
				play.checkNoBlame()
			})
		}
	}
}

// firstOrder returns when the first back end was told to load a version of the weights; the zero time if none was.
func (d *deployment) firstOrder(version uint64) time.Time {
	var first time.Time
	for _, runner := range d.runners {
		for _, order := range runner.Orders() {
			if order.Version == version && (first.IsZero() || order.At.Before(first)) {
				first = order.At
			}
		}
	}
	return first
}

// TestWeightsLoadWhileDaemonsHaveNoLinks guards against a lease of weight updates that is held by a daemon that reaches no
// back end.
func TestWeightsLoadWhileDaemonsHaveNoLinks(t *testing.T) {
	const firstLoadBound = linkLossContact + 1500*time.Millisecond
	t.Parallel()
	for third := range 3 {
		for _, how := range []standin.Cut{standin.CutSilent, standin.CutReset, standin.CutKept} {
			if how == standin.CutKept && third < 2 && !*linkLossAll {
				continue
			}
			t.Run(fmt.Sprintf("third %d, %s", third, how), func(t *testing.T) {
				play := newLinkLoss(t, 6, 2)
				play.cutOff = play.daemons[2*third : 2*third+2]
				play.cut(how, func() {
					time.Sleep(time.Second)
					play.name(2)
				})
				first := play.firstOrder(2)
				assert.Assert(t, !first.IsZero())
				t.Logf("first load %s after the cut", first.Sub(play.cutAt))
				assert.Check(t, first.Sub(play.cutAt) <= firstLoadBound, "first load %s after the cut", first.Sub(play.cutAt))
			})
		}
	}
}

// TestDaemonsWithoutLinksBlameNoRequest guards against quarantined requests whose only fault is that their connections were
// lost together with all others of a daemon.
func TestDaemonsWithoutLinksBlameNoRequest(t *testing.T) {
	t.Parallel()
	for _, how := range []standin.Cut{standin.CutSilent, standin.CutReset} {
		t.Run(how.String(), func(t *testing.T) {
			play := newLinkLossWith(t, 6, 2, 30, 10*time.Millisecond)
			for _, daemon := range play.daemons {
				play.asking.Go(func() { play.askPopular(daemon) })
			}
			time.Sleep(500 * time.Millisecond)
			play.cut(how, func() {})
			play.checkNoBlame()
		})
	}
}

// askPopular sends the same few long streams again and again.
func (l *linkLoss) askPopular(daemon *process) {
	for count := 0; ; count++ {
		select {
		case <-l.ending:
			return
		case <-time.After(linkLossInterval):
		}
		path := fmt.Sprint([]string{"/stream/", "/once/"}[count%2], "popular", count%3)
		l.asking.Go(func() {
			daemon.ask(call{path: path, id: fmt.Sprintf("popular-%s-%d", daemon.name, count), body: path, header: prompt("pp:80,qq:20")})
		})
	}
}

// TestLossOfAllLinksBlamesNoRequest guards against evidence from daemons none of which can tell its links from the back ends.
func TestLossOfAllLinksBlamesNoRequest(t *testing.T) {
	t.Parallel()
	play := newLinkLossWith(t, 4, 4, 30, 10*time.Millisecond)
	for _, daemon := range play.daemons {
		play.asking.Go(func() { play.askPopular(daemon) })
	}
	time.Sleep(500 * time.Millisecond)
	play.cut(standin.CutReset, func() {})
	play.checkNoBlame()
	play.checkOnce()
}
