package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// askInterval lies between two requests of one caller, where nothing else is set.
const askInterval = 20 * time.Millisecond

// callers send requests of all kinds at an even pace, whatever becomes of those before, and keep what they saw.
type callers struct {
	mutex  sync.Mutex
	asked  []exchange
	ending chan struct{}
	asking sync.WaitGroup
	// interval lies between two requests of one caller.
	interval time.Duration
}

func newCallers() callers { return callers{ending: make(chan struct{}), interval: askInterval} }

// askEvenly has requests sent to whichever daemon is told, until stopAsking. Their ids begin with a name.
func (c *callers) askEvenly(name string, daemon func() *process) { c.askEvenlyFrom(0, name, daemon) }

// askEvenlyFrom does so from a count on, which decides the kinds of the requests.
func (c *callers) askEvenlyFrom(first int, name string, daemon func() *process) {
	c.asking.Go(func() {
		for count := first; ; count++ {
			select {
			case <-c.ending:
				return
			case <-time.After(c.interval):
			}
			at := daemon()
			c.asking.Go(func() { c.askOnce(at, fmt.Sprintf("%s-%d", name, count), count) })
		}
	})
}

func (c *callers) askOnce(daemon *process, id string, count int) {
	one := askByTurns(daemon, id, count)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked = append(c.asked, one)
}

// stopAsking waits for the answers that are under way.
func (c *callers) stopAsking() {
	close(c.ending)
	c.asking.Wait()
}

// checkServed holds that all requests were served. Nobody may ask any more.
func (c *callers) checkServed(t *testing.T) {
	t.Helper()
	var lost []string
	for _, one := range c.asked {
		if one.got.err != nil || one.got.status != http.StatusOK {
			lost = append(lost, fmt.Sprintf("%s at %s: %d %v, as %s", one.call.id, one.at.name, one.got.status, one.got.err, one.at.reasonOf(one.call.id)))
		}
	}
	t.Logf("%d of %d requests were lost", len(lost), len(c.asked))
	assert.Check(t, len(lost) == 0, "%d of %d requests were lost: %s", len(lost), len(c.asked), firstOf(lost))
}

// callByTurns returns a request of one of the four kinds, by a count.
func callByTurns(id string, count int) call {
	sent := call{id: id, body: "body of " + id}
	switch count % 4 {
	case 0:
		sent.path = "/safe/" + id
	case 1:
		sent.path = "/unsafe/" + id
	case 2:
		sent.path, sent.header = "/stream/"+id, prompt(fmt.Sprintf("p%d:80,%s:20", count%7, id))
	default:
		sent.path, sent.header = "/once/"+id, prompt(fmt.Sprintf("p%d:80,%s:20", count%7, id))
	}
	return sent
}

// askByTurns sends a request of one of the four kinds, by a count, and returns what its caller saw.
func askByTurns(daemon *process, id string, count int) exchange {
	sent := callByTurns(id, count)
	one := exchange{call: sent, at: daemon, from: time.Now()}
	one.got = daemon.ask(sent)
	one.to = time.Now()
	return one
}

// bothKinds starts a number of back ends of each kind, which come by turns, and declares them with the first version
// of the weights.
func (d *deployment) bothKinds(count int) {
	for number := range count {
		d.page(fmt.Sprint("p", number))
		d.engine(fmt.Sprint("e", number), 2, time.Millisecond)
	}
	d.configure(testKey)
	d.name(1)
}
