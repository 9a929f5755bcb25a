package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/platform/standin"
)

// fatalBody is the body of requests that end each back end that runs them.
const fatalBody = "ends whoever runs it"

// mostEnded is how many back ends one request may end: two before it is refused, and one
// more where two tries are under way at once.
const mostEnded = 3

// triesInterval is about how often the request came again in the story below.
const triesInterval = 300 * time.Millisecond

// newFatalDeployment has engines that a request with fatalBody ends.
func newFatalDeployment(t *testing.T, engines int) *deployment {
	deployed := newDeployment(t)
	for number := range engines {
		deployed.engine(fmt.Sprint("e", number), 3, time.Millisecond).EndOf(fatalBody)
	}
	deployed.configure(testKey)
	deployed.name(1)
	return deployed
}

// ended counts the back ends that ran the request with fatalBody, each of which ended.
func (d *deployment) ended() int {
	count := 0
	for _, runner := range d.runners {
		for _, arrival := range runner.Arrivals() {
			if arrival.Ran && arrival.Body == fatalBody {
				count++
				break
			}
		}
	}
	return count
}

// restart kills daemons at once, and starts others in their place.
func (d *deployment) restart(daemons []*process) {
	for _, daemon := range daemons {
		assert.NilError(d.t, daemon.command.Process.Kill())
	}
	for number, daemon := range daemons {
		<-daemon.ended
		daemons[number] = d.daemon(daemon.name, true)
	}
}

// askFatally sends the request that ends back ends, under an id of its own.
func (p *process) askFatally(path, id string) reply {
	return p.ask(call{path: path, id: id, body: fatalBody, header: prompt("aa:80,bb:20")})
}

// TestRequestThatEndsBackEndsIsStopped tells the story of an incident. Users saw streams break
// off by the dozen and back ends gone, one after the other, 16 of them within seconds. Each had
// begun a request with the same path, body and caller, and ended within a tenth of a second;
// its caller was told that nothing is known of the outcome and came again, under another id
// and at another daemon, to which the request was new. No daemon remembered what its request
// had done, nor told the others. What proved it: of all requests cut at the 25 back ends that
// ended, one of two prompts was among them each time, and nothing else.
func TestRequestThatEndsBackEndsIsStopped(t *testing.T) {
	deployed := newFatalDeployment(t, 8)
	var daemons []*process
	for number := range 3 {
		daemons = append(daemons, deployed.daemon(fmt.Sprint("d", number), true))
	}
	var last reply
	for number := range 12 {
		last = daemons[number%3].askFatally("/once/x", fmt.Sprint("fatal", number))
		time.Sleep(triesInterval)
	}
	assert.Assert(t, deployed.ended() <= mostEnded, "%d back ends ended", deployed.ended())
	assert.Equal(t, last.status, http.StatusServiceUnavailable)
	assert.Assert(t, last.header.Get("Retry-After") != "")
	for number, daemon := range daemons {
		got := daemon.ask(call{path: "/once/x", id: fmt.Sprint("sound", number), body: "another", header: prompt("aa:80,bb:20")})
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 3))
	}
}

// TestRepeatableRequestThatEndsBackEndsIsStopped sends one that may run more than once: the
// daemon itself must not carry it from back end to back end.
func TestRepeatableRequestThatEndsBackEndsIsStopped(t *testing.T) {
	deployed := newFatalDeployment(t, 8)
	daemon := deployed.daemon("d0", true)
	for number := range 6 {
		daemon.askFatally("/stream/x", fmt.Sprint("fatal", number))
		time.Sleep(triesInterval)
	}
	assert.Assert(t, deployed.ended() <= mostEnded, "%d back ends ended", deployed.ended())
	got := daemon.ask(call{path: "/stream/x", id: "sound", body: "another", header: prompt("aa:80,bb:20")})
	assert.Equal(t, got.body, events(1, 3))
}

// TestStartersKnowFatalRequests kills one daemon after the request was stopped, and then all at
// once: those that start in their place must know it.
func TestStartersKnowFatalRequests(t *testing.T) {
	deployed := newFatalDeployment(t, 8)
	daemons := []*process{deployed.daemon("d0", true), deployed.daemon("d1", true)}
	for number := range 6 {
		daemons[number%2].askFatally("/once/x", fmt.Sprint("fatal", number))
		time.Sleep(triesInterval)
	}
	before := deployed.ended()
	deployed.restart(daemons[1:])
	assert.Equal(t, daemons[1].askFatally("/once/x", "again").status, http.StatusServiceUnavailable)
	deployed.restart(daemons)
	for number := range 4 {
		got := daemons[number%2].askFatally("/once/x", fmt.Sprint("again", number))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, deployed.ended(), before)
}

// TestCrashesAloneStopNobody ends back ends for no fault of a request that comes again at each
// of them: it is served in the end.
func TestCrashesAloneStopNobody(t *testing.T) {
	deployed := newDeployment(t)
	var engines []*standin.Runner
	for number := range 4 {
		engines = append(engines, deployed.engine(fmt.Sprint("e", number), 3, time.Millisecond))
	}
	deployed.configure(testKey)
	deployed.name(1)
	daemon := deployed.daemon("d0", true)
	for round, engine := range engines[:3] {
		for number := range 4 {
			got := daemon.ask(call{path: "/stream/x", id: fmt.Sprint("q", round, number), body: "sound", header: prompt("aa:80,bb:20")})
			assert.Equal(t, got.body, events(1, 3))
		}
		engine.Script(standin.BehaveCrash)
	}
	got := daemon.ask(call{path: "/stream/x", id: "last", body: "sound", header: prompt("aa:80,bb:20")})
	assert.Equal(t, got.body, events(1, 3))
}
