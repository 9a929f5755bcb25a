package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	// calmStopGrace is graceS of the bounds, and calmStopTime how long requests are sent after the signal.
	calmStopGrace = 8 * time.Second
	calmStopTime  = calmStopGrace + time.Second
	// calmStopInterval lies between two requests on a kind of connection, with back ends that answer at once.
	calmStopInterval = 150 * time.Millisecond
	// calmStopEarly is how many connections are opened before the signal and used after it.
	calmStopEarly = 60
	// calmStopBody is how long the end of a late body takes.
	calmStopBody = 700 * time.Millisecond
	// A request that was sent up to calmStopTaken after the signal may be cut if its back end is still at work calmStopLast after it.
	calmStopTaken = 3 * time.Second
	calmStopLast  = calmStopGrace * 5 / 6
)

// calmStopWork are the times that back ends work on a request.
var calmStopWork = []time.Duration{50 * time.Millisecond, time.Second, 4 * time.Second}

// lateReader is an empty reader that takes calmStopBody to reach its end.
type lateReader struct{}

// Read implements io.Reader.
func (*lateReader) Read([]byte) (int, error) {
	time.Sleep(calmStopBody)
	return 0, io.EOF
}

// earlyConnections returns a client that uses connections which were opened before.
func earlyConnections(t *testing.T, address string) *http.Client {
	opened := make(chan net.Conn, calmStopEarly)
	for range calmStopEarly {
		connection, err := net.Dial("tcp4", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		opened <- connection
	}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case connection := <-opened:
			return connection, nil
		default:
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	}}}
}

// askLate sends a call whose body ends late.
func (p *process) askLate(client *http.Client, sent call) reply {
	request, cancel, err := p.newRequest(p.front, testHost, sent)
	if err != nil {
		return reply{err: err}
	}
	defer cancel()
	late := io.MultiReader(strings.NewReader(sent.body), &lateReader{}, strings.NewReader("."))
	request.Body, request.ContentLength = io.NopCloser(late), int64(len(sent.body))+1
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), err: err}
}

// TestCalmStopCutsNothingItPassedOn guards against requests that a daemon takes and passes on after SIGTERM and cuts at the end of the
// grace, on new, kept and early opened connections, and with bodies that end late.
func TestCalmStopCutsNothingItPassedOn(t *testing.T) {
	t.Parallel()
	for _, work := range calmStopWork {
		t.Run(work.String(), func(t *testing.T) {
			play := &calmStop{deployment: newDeployment(t), callers: newCallers(), work: work}
			play.bounds = strings.Replace(defaultBounds, "graceS: 4", fmt.Sprint("graceS: ", calmStopGrace.Seconds()), 1)
			play.bothKinds(2)
			for _, runner := range play.runners {
				runner.Misbehave(0, work)
			}
			play.stopped = play.daemon("d0", true)
			play.sendAll(t, calmStopInterval+work/8)
			play.check(t)
		})
	}
}

// calmStop is a play in which a daemon stops.
type calmStop struct {
	*deployment
	callers
	stopped *process
	// work is how long back ends work on a request.
	work        time.Duration
	signalledAt time.Time
}

// sendAll sends requests on each kind of connection, with an interval, before and after the signal.
func (c *calmStop) sendAll(t *testing.T, interval time.Duration) {
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: calmStopEarly}}
	early := earlyConnections(t, c.stopped.front)
	ask := func(client *http.Client, sent call) reply {
		return c.stopped.askWith(client, c.stopped.front, testHost, sent)
	}
	for name, send := range map[string]func(sent call) reply{
		"fresh": func(sent call) reply { return ask(fresh, sent) },
		"kept":  func(sent call) reply { return ask(kept, sent) },
		"early": func(sent call) reply { return ask(early, sent) },
		"late":  func(sent call) reply { return c.stopped.askLate(kept, sent) },
	} {
		c.asking.Go(func() {
			for count := 0; ; count++ {
				select {
				case <-c.ending:
					return
				case <-time.After(interval):
				}
				c.asking.Go(func() { c.askBy(send, fmt.Sprintf("%s-%d", name, count), count) })
			}
		})
	}
	time.Sleep(time.Second)
	c.signalledAt = time.Now()
	c.stopped.stop(t)
	time.Sleep(calmStopTime)
	c.stopAsking()
}

// askBy sends one request and keeps what its caller saw.
func (c *calmStop) askBy(send func(sent call) reply, id string, count int) {
	sent := callByTurns(id, count)
	one := exchange{call: sent, at: c.stopped, from: time.Now()}
	one.got = send(sent)
	one.to = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked = append(c.asked, one)
}

// mayCut reports whether a request may be cut whose last back end got it at a moment.
func (c *calmStop) mayCut(sentAt, arrivedAt time.Time) bool {
	return !sentAt.After(c.signalledAt.Add(calmStopTaken)) && arrivedAt.Add(c.work).After(c.signalledAt.Add(calmStopLast))
}

// check holds that each request that reached a back end has an answer, and that none is said not to have run which has.
func (c *calmStop) check(t *testing.T) {
	t.Helper()
	ran := map[string]standin.Arrival{}
	for _, runner := range c.runners {
		for _, arrival := range runner.Arrivals() {
			if arrival.Ran && arrival.At.After(ran[arrival.ID].At) {
				ran[arrival.ID] = arrival
			}
		}
	}
	served, refused, unread := 0, 0, 0
	for _, one := range c.asked {
		arrival, reached := ran[one.call.id]
		switch {
		case one.got.err == nil && one.got.status == http.StatusOK:
			served++
		case one.got.err == nil:
			refused++
			assert.Check(t, !reached || one.got.status != http.StatusServiceUnavailable, "%s ran and was said not to have", one.call.id)
		default:
			unread++
			assert.Check(t, !reached || c.mayCut(one.from, arrival.At), "%s was sent %s after the signal, reached a back end at %s and was cut at %s: %v",
				one.call.path, one.from.Sub(c.signalledAt), arrival.At.Sub(c.signalledAt), one.to.Sub(c.signalledAt), one.got.err)
		}
	}
	t.Logf("%d requests: %d served, %d refused, %d unread or cut", len(c.asked), served, refused, unread)
	assert.Check(t, served > 0 && unread > 0, "requests came before and after the end")
}
