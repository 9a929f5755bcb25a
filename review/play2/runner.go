package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	eventCount = 4
	eventPause = 25 * time.Millisecond
)

// run is one run of a request at a runner.
type run struct {
	runner string
	at     time.Time
}

// runs are all runs of all runners, by the request's id. It is safe for concurrent use.
type runs struct {
	mutex sync.Mutex
	byID  map[string][]run
}

func (r *runs) add(id, runner string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byID[id] = append(r.byID[id], run{runner: runner, at: time.Now()})
}

func (r *runs) of(id string) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// runner is a stand-in of a model runner. It holds maxInFlight calls for cache events at once and answers any more with 429.
type runner struct {
	id, service, model string
	listener           net.Listener
	born               time.Time
	record             *record
	runs               *runs
	maxInFlight        int

	mutex sync.Mutex
	held  int
	// surplus is how many answers the runner still sends a second time, late, in the place of the next answer.
	surplus int
	turned  int
}

func newRunner(id, service, model string, maxInFlight, surplus int, written *record, all *runs) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	made := &runner{
		id: id, service: service, model: model, listener: listener, born: time.Now(), record: written, runs: all,
		maxInFlight: maxInFlight, surplus: surplus,
	}
	go made.accept()
	return made, nil
}

// row is the runner's entry in the store.
func (r *runner) row() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": "a", "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": r.born.UnixMilli(), "models": []any{map[string]any{"name": r.model, "version": 1, "adapters": []any{}}},
	}
}

func (r *runner) accept() {
	for {
		socket, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(socket)
	}
}

// connection is one connection to a runner.
type connection struct {
	net.Conn
	// late is an answer that is sent again in the place of the next one; empty is none.
	late string
}

// serve answers the requests on a connection one after the other.
func (r *runner) serve(socket net.Conn) {
	link := &connection{Conn: socket}
	defer func() { _ = link.Close() }()
	reader := bufio.NewReader(link)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if link.late != "" {
			r.record.note("runner %s: before it answers %s %s (request %s) on a kept connection it sends its last answer there once more",
				r.id, request.Method, request.URL.Path, request.Header.Get("Lotusward-Request-Id"))
			_, _ = io.WriteString(link, link.late)
			link.late = ""
		}
		if !r.answer(link, request) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection is broken.
func (r *runner) answer(link *connection, request *http.Request) bool {
	expected := request.Header.Get("Lotusward-Expect-Instance")
	switch {
	case expected != "" && expected != r.id:
		return write(link, head(request, "421 Misdirected Request", "Lotusward-Instance-Id: "+r.id, "Content-Length: 0"))
	case request.URL.Path == "/-/report":
		return write(link, withBody(request, fmt.Sprintf(`{"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":0,`+
			`"queued":0,"active":0,"kvUsed":0,"kvTotal":90000,"handles":0,"born":%d}`, r.model, r.born.UnixMilli())))
	case request.URL.Path == "/-/kv-events":
		return r.answerEvents(link, request)
	case strings.HasPrefix(request.URL.Path, "/-/"):
		return write(link, head(request, "404 Not Found", "Content-Length: 0"))
	default:
		return r.answerStream(link, request)
	}
}

// answerEvents holds a call for cache events, of which there are none, or turns it away.
func (r *runner) answerEvents(link *connection, request *http.Request) bool {
	if !r.hold() {
		text := head(request, "429 Too Many Requests", "Lotusward-Not-Executed: 1", "Content-Length: 0")
		r.record.note("runner %s: a call for cache events gets 429, as it holds %d already", r.id, r.maxInFlight)
		if r.takeSurplus() {
			link.late = text
		}
		return write(link, text)
	}
	defer r.release()
	wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
	time.Sleep(min(time.Duration(wait)*time.Millisecond, time.Second))
	return write(link, withBody(request, fmt.Sprintf(`{"bootEpoch":1,"nextPageToken":0,"lost":false,"events":[],"born":%d}`, r.born.UnixMilli())))
}

func (r *runner) hold() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.held >= r.maxInFlight {
		r.turned++
		return false
	}
	r.held++
	return true
}

func (r *runner) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.held--
}

func (r *runner) takeSurplus() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.surplus == 0 {
		return false
	}
	r.surplus--
	return true
}

// answerStream runs a request.
func (r *runner) answerStream(link *connection, request *http.Request) bool {
	id := request.Header.Get("Lotusward-Request-Id")
	r.runs.add(id, r.id)
	r.record.note("runner %s runs request %s", r.id, id)
	if !write(link, head(request, "200 OK", "Content-Type: text/event-stream", "Lotusward-Response-Stamp: stamp-of-"+r.id,
		"Lotusward-Weight-Versions: 1", "Transfer-Encoding: chunked")) {
		return false
	}
	for number := 1; number <= eventCount; number++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, r.id)
		if !write(link, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
	}
	return write(link, "0\r\n\r\n")
}

// head is the head of an answer. It carries the request's id back, if the request has one.
func head(request *http.Request, status string, fields ...string) string {
	if id := request.Header.Get("Lotusward-Request-Id"); id != "" {
		fields = append(fields, "Lotusward-Request-Id: "+id)
	}
	return "HTTP/1.1 " + status + "\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

func withBody(request *http.Request, body string) string {
	return head(request, "200 OK", "Content-Type: application/json", fmt.Sprint("Content-Length: ", len(body))) + body
}

func write(link net.Conn, text string) bool {
	_, err := io.WriteString(link, text)
	return err == nil
}
