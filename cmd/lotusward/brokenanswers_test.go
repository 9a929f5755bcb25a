package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	scriptedFields = "Lotusward-Request-Id: {id}\r\nLotusward-Response-Stamp: stamp\r\nLotusward-Weight-Versions: 1\r\n"
	scriptedOK     = "HTTP/1.1 200 OK\r\n" + scriptedFields
	scriptedEvents = 5
	// scriptedRepeats is how often each kind of request is sent.
	scriptedRepeats = 4
	// uploadBytes is the size of a body that is still being sent when an early answer comes.
	uploadBytes = 300 << 10
)

// refusals are the statuses of requests that the daemon gives up.
var refusals = []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}

// scriptedPlay is a deployment whose back ends send scripted answers.
type scriptedPlay struct {
	*deployment
	daemon *process
	// faulty and sound are of pages and of streams, one each.
	faulty, sound []*standin.Runner
	asked         int
}

// newScriptedPlay starts back ends and a daemon, which sends through another one if it is indirect.
func newScriptedPlay(t *testing.T, indirect bool) *scriptedPlay {
	play := &scriptedPlay{deployment: newDeployment(t)}
	play.faulty = []*standin.Runner{play.page("p1"), play.engine("e1", scriptedEvents, 0)}
	play.sound = []*standin.Runner{play.page("p2"), play.engine("e2", scriptedEvents, 0)}
	play.configure(testKey)
	play.name(1)
	if indirect {
		play.deployment.daemon("d0", true)
		play.gateways = true
	}
	play.daemon = play.deployment.daemon("d1", true)
	if indirect {
		time.Sleep(500 * time.Millisecond) // until they know each other
		play.daemon.gateway.CutOff(standin.CutReset)
	}
	return play
}

// send sends a request with a body of a size to a route.
func (p *scriptedPlay) send(path string, size int) (string, reply) {
	p.asked++
	id := fmt.Sprint("q", p.asked)
	sent := call{path: path + id, id: id, body: strings.Repeat("x", size)}
	if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/once") {
		sent.header = prompt(fmt.Sprintf("a%d:80,b%d:20", p.asked, p.asked))
	}
	return id, p.daemon.ask(sent)
}

// ran returns how many back ends received a request.
func (p *scriptedPlay) ran(id string) int {
	count := 0
	for _, runner := range p.runners {
		for _, arrival := range runner.Arrivals() {
			if arrival.ID == id {
				count++
			}
		}
	}
	return count
}

// checkNeverWhole sends requests of each kind of route while one of two back ends, and then both, give a scripted answer. No client may
// get it, and no request that may run once may run twice or be called not run.
func (p *scriptedPlay) checkNeverWhole(page, stream *standin.ScriptedAnswer, size int) {
	p.t.Helper()
	for _, all := range []bool{false, true} {
		p.giveScripted(p.faulty, page, stream)
		if all {
			p.giveScripted(p.sound, page, stream)
		}
		begun := len(p.faulty[0].Arrivals()) + len(p.faulty[1].Arrivals())
		for range scriptedRepeats {
			for _, path := range []string{"/unsafe/", "/safe/", "/once/", "/stream/"} {
				id, got := p.send(path, size)
				p.checkReply(path, id, got, all)
			}
		}
		assert.Assert(p.t, len(p.faulty[0].Arrivals())+len(p.faulty[1].Arrivals()) > begun, "no scripted answer was given")
		p.giveScripted(p.runners, nil, nil)
	}
	assert.Check(p.t, p.gateways == strings.Contains(p.daemon.log(), `"via":`), "attempts went through another daemon: %t is expected", p.gateways)
}

// giveScripted makes back ends give scripted answers to requests for pages and for streams.
func (p *scriptedPlay) giveScripted(runners []*standin.Runner, page, stream *standin.ScriptedAnswer) {
	for _, runner := range runners {
		answer := page
		if runner.Service == "llm" {
			answer = stream
		}
		runner.AnswerWith(answer)
	}
}

// checkReply holds what a client got while one of two back ends, or all, are faulty.
func (p *scriptedPlay) checkReply(path, id string, got reply, all bool) {
	p.t.Helper()
	isWhole := got.err == nil && !slices.Contains(refusals, got.status)
	body := standin.PageBody
	if path == "/stream/" || path == "/once/" {
		body = events(1, scriptedEvents)
	}
	ran := p.ran(id)
	assert.Check(p.t, !isWhole || (!all && got.status == http.StatusOK && got.body == body), "%s%s: %d %q %v", path, id, got.status, got.body, got.header)
	assert.Check(p.t, got.status != http.StatusServiceUnavailable || ran == 0, "%s%s ran and was said not to have", path, id)
	assert.Check(p.t, ran <= 1 || path == "/safe/" || path == "/stream/", "%s%s ran %d times", path, id, ran)
	for name := range got.header {
		assert.Check(p.t, !strings.ContainsAny(name, " \t"), "%s%s: field %q", path, id, name)
	}
}

// scriptedImitation is a body that looks like an answer.
const scriptedImitation = scriptedOK + "Content-Length: 6\r\n\r\nforged"

// checkMalformed plays malformed answers, whose malformed part the log must name.
func checkMalformed(t *testing.T, text, part string, indirect bool) {
	play := newScriptedPlay(t, indirect)
	answer := &standin.ScriptedAnswer{Text: text, End: standin.EndHalfClose}
	play.checkNeverWhole(answer, answer, 0)
	assert.Check(t, strings.Contains(play.daemon.log(), fmt.Sprintf("%q:%q", "malformed", part)), "the log doesn't name the %s", part)
}

// TestImpossibleStatusReachesNoClient guards against answers whose status HTTP doesn't have, and against taking their bodies for
// answers.
func TestImpossibleStatusReachesNoClient(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "001", "099", "+20", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			checkMalformed(t, "HTTP/1.1 "+status+" Odd\r\n"+scriptedFields+"\r\n"+scriptedImitation, "status code", status == "000")
		})
	}
}

// TestInterimAnswerWithBodyReachesNoClient guards against taking the body that an interim answer declares for the answer.
func TestInterimAnswerWithBodyReachesNoClient(t *testing.T) {
	text := fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nContent-Length: %d\r\n\r\n", len(scriptedImitation)) + scriptedImitation
	checkMalformed(t, text, "interim answer", false)
}

// TestOtherProtocolReachesNoClient guards against answers whose first lines name another protocol's version.
func TestOtherProtocolReachesNoClient(t *testing.T) {
	t.Parallel()
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.0"} {
		t.Run(version, func(t *testing.T) {
			checkMalformed(t, version+" 200 OK\r\n"+scriptedFields+"Content-Length: 6\r\n\r\nforged", "protocol version", false)
		})
	}
}

// TestCodingOfEarlierVersionReachesNoClient guards against bodies that are passed on with their chunk sizes.
func TestCodingOfEarlierVersionReachesNoClient(t *testing.T) {
	t.Parallel()
	head := strings.Replace(scriptedOK, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n"
	for name, rest := range map[string]string{
		"without a length": "\r\n6\r\nforged\r\n0\r\n\r\n",
		"with a length":    "Content-Length: 16\r\n\r\n6\r\nforged\r\n0\r\n\r\n",
		"stream":           "Content-Type: text/event-stream\r\n\r\n15\r\n" + events(1, 1) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, head+rest, "transfer coding", false) })
	}
}

// TestFieldNameWithBlankReachesNoClient guards against passing on a field whose name holds a blank, and against bodies that are not the
// back end's because such a field was meant to delimit them.
func TestFieldNameWithBlankReachesNoClient(t *testing.T) {
	t.Parallel()
	for _, field := range []string{"Odd Name: x", "Odd : x", "Content-Length : 6", "Transfer-Encoding : chunked", "Lotusward-Not-Executed : 1"} {
		for name, rest := range map[string]string{
			"with a length": "Content-Length: 6\r\n\r\nforged", "without a length": "\r\n6\r\nforged\r\n0\r\n\r\n",
			"stream": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n" + events(1, 1) + "\r\n0\r\n\r\n",
		} {
			t.Run(field+" "+name, func(t *testing.T) {
				checkMalformed(t, scriptedOK+field+"\r\n"+rest, "field name", name == "stream" && field == "Odd : x")
			})
		}
	}
}

// TestResetDuringUploadReachesNoClient guards against a part of an answer that counts as whole because its connection was reset while
// a long request was being sent.
func TestResetDuringUploadReachesNoClient(t *testing.T) {
	t.Parallel()
	heads := map[string]string{
		"without a length": scriptedOK,
		"closing":          scriptedOK + "Connection: close\r\n",
		"HTTP 1.0":         strings.Replace(scriptedOK, "HTTP/1.1", "HTTP/1.0", 1),
		"failure":          "HTTP/1.1 500 Failed\r\n" + scriptedFields,
	}
	for name, head := range heads {
		for _, indirect := range []bool{false, true} {
			if indirect && name != "without a length" {
				continue
			}
			t.Run(fmt.Sprintf("%s, through another daemon %t", name, indirect), func(t *testing.T) {
				play := newScriptedPlay(t, indirect)
				play.checkNeverWhole(
					&standin.ScriptedAnswer{Text: head + "\r\n" + standin.PageBody[:5], Early: true},
					&standin.ScriptedAnswer{Text: head + "Content-Type: text/event-stream\r\n\r\n" + events(1, 1), Early: true},
					uploadBytes,
				)
			})
		}
	}
}

// TestCutAnswerReachesNoClient guards against an empty or short body, framed as whole, of an answer whose head or chunks are cut near the
// end of each line.
func TestCutAnswerReachesNoClient(t *testing.T) {
	t.Parallel()
	const body = "Transfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\n\r\n"
	text := scriptedOK + body
	for _, end := range []standin.AnswerEnd{standin.EndReset, standin.EndHalfClose} {
		t.Run(fmt.Sprintf("reset %t", end == standin.EndReset), func(t *testing.T) {
			play := newScriptedPlay(t, false)
			for position := range text {
				if text[position] != '\n' {
					continue
				}
				for _, cut := range []int{position - 1, position, position + 1} {
					if cut == len(text) {
						continue
					}
					answer := &standin.ScriptedAnswer{Text: text[:cut], End: end}
					play.giveScripted(play.runners, answer, answer)
					for _, path := range []string{"/unsafe/", "/safe/", "/once/", "/stream/"} {
						id, got := play.send(path, 0)
						play.checkReply(path, id, got, true)
					}
				}
			}
			given := 0
			for _, runner := range play.runners {
				given += len(runner.Arrivals())
			}
			t.Logf("%d cut answers to %d requests", given, play.asked)
			assert.Check(t, given >= play.asked/2, "too few cut answers were given")
		})
	}
}

// TestHalfClosedEarlyAnswerReachesClients guards against refusing an answer without a length of a back end that answers early, closes
// its direction and reads the rest of the request.
func TestHalfClosedEarlyAnswerReachesClients(t *testing.T) {
	play := newScriptedPlay(t, false)
	play.giveScripted(play.runners,
		&standin.ScriptedAnswer{Text: scriptedOK + "\r\n" + standin.PageBody, Early: true, End: standin.EndHalfClose},
		&standin.ScriptedAnswer{Text: scriptedOK + "Content-Type: text/event-stream\r\n\r\n" + events(1, scriptedEvents), Early: true, End: standin.EndHalfClose},
	)
	for range scriptedRepeats {
		for path, body := range map[string]string{"/unsafe/": standin.PageBody, "/safe/": standin.PageBody, "/once/": events(1, scriptedEvents), "/stream/": events(1, scriptedEvents)} {
			id, got := play.send(path, uploadBytes)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, "%s%s", path, id)
			assert.Equal(t, got.body, body)
			assert.Equal(t, play.ran(id), 1)
		}
	}
}
