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

// streamShape is how many events a stream has, and the pause before each.
type streamShape struct {
	events int
	pause  time.Duration
}

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
	address            string
	record             *record
	runs               *runs
	maxInFlight        int
	shape              streamShape

	mutex    sync.Mutex
	listener net.Listener
	// born is when the present life began, software its version, and open are its connections.
	born     time.Time
	software string
	open     map[net.Conn]bool
	held     int
	weights  weights
	// list writes the row of the runner, if it is set.
	list func()
	// surplus is how many answers the runner still sends a second time, late, in the place of the next answer.
	surplus int
	turned  int
}

func newRunner(id string, shape streamShape, maxInFlight, surplus int, written *record, all *runs) (*runner, error) {
	made := &runner{
		id: id, service: service, model: model, address: "127.0.0.1:0", record: written, runs: all, shape: shape,
		maxInFlight: maxInFlight, surplus: surplus, weights: weights{version: 1},
	}
	return made, made.start("v1")
}

// start begins a life of the runner, at the address of the one before.
func (r *runner) start(software string) error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.listener, r.address = listener, listener.Addr().String()
	r.born, r.software, r.open, r.held = time.Now(), software, map[net.Conn]bool{}, 0
	r.weights = weights{version: r.weights.version} // counts and fences are not kept
	go r.accept(listener, r.open)
	return nil
}

// crash ends the present life and all its connections.
func (r *runner) crash() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.listener.Close()
	for socket := range r.open {
		_ = socket.Close()
	}
	clear(r.open)
}

func (r *runner) life() (born time.Time, software string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.born, r.software
}

// row is the runner's entry in the store.
func (r *runner) row() map[string]any {
	born, software := r.life()
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "a", "version": software, "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": born.UnixMilli(), "models": []any{map[string]any{"name": r.model, "version": r.state().version, "adapters": []any{}}},
	}
}

func (r *runner) accept(listener net.Listener, open map[net.Conn]bool) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		open[socket] = true
		r.mutex.Unlock()
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
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if link.late != "" {
			r.record.note("runner %s: before it answers %s %s (request %s) on a kept connection it sends its last answer there once more",
				r.id, request.Method, request.URL.Path, request.Header.Get(header("Request-Id")))
			_, _ = io.WriteString(link, link.late)
			link.late = ""
		}
		if !r.answer(link, request, body) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection is broken.
func (r *runner) answer(link *connection, request *http.Request, body []byte) bool {
	born, _ := r.life()
	expected := request.Header.Get(header("Expect-Instance"))
	switch {
	case expected != "" && expected != r.id:
		return write(link, head(request, "421 Misdirected Request", header("Instance-Id")+": "+r.id, "Content-Length: 0"))
	case request.URL.Path == call("report"):
		held := r.state()
		return write(link, withBody(request, fmt.Sprintf(`{"stage":"both","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":%t,"sequence":%d,`+
			`"queued":0,"active":0,"kvUsed":0,"kvTotal":90000,"handles":0,"born":%d}`, r.model, held.version, held.loading > 0, held.sequence, born.UnixMilli())))
	case request.URL.Path == call("order"):
		return r.answerOrder(link, request, body)
	case request.URL.Path == call("kv-events"):
		return r.answerEvents(link, request)
	case strings.HasPrefix(request.URL.Path, call("")):
		return write(link, head(request, "404 Not Found", "Content-Length: 0"))
	default:
		return r.answerStream(link, request)
	}
}

// answerEvents holds a call for cache events, of which there are none, or turns it away.
func (r *runner) answerEvents(link *connection, request *http.Request) bool {
	if !r.hold() {
		text := head(request, "429 Too Many Requests", header("Not-Executed")+": 1", "Content-Length: 0")
		r.record.note("runner %s: a call for cache events gets 429, as it holds %d already", r.id, r.maxInFlight)
		if r.takeSurplus() {
			link.late = text
		}
		return write(link, text)
	}
	defer r.release()
	wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
	time.Sleep(min(time.Duration(wait)*time.Millisecond, time.Second))
	born, _ := r.life()
	return write(link, withBody(request, fmt.Sprintf(`{"bootEpoch":%[1]d,"nextPageToken":0,"lost":false,"events":[],"born":%[1]d}`, born.UnixMilli())))
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
	id := request.Header.Get(header("Request-Id"))
	_, software := r.life()
	held := r.state()
	if wanted := request.Header.Get(header("Expect-Version")); wanted != "" && wanted != fmt.Sprint(held.version) {
		return write(link, head(request, "421 Misdirected Request", header("Instance-Id")+": "+r.id, fmt.Sprint(header("Weight-Versions")+": ", held.version), "Content-Length: 0"))
	}
	if held.loading > 0 {
		return write(link, head(request, "503 Service Unavailable", header("Not-Executed")+": 1", "Content-Length: 0"))
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.runs.add(id, r.id)
	r.record.note("runner %s (software %s) runs request %s after event %d", r.id, software, id, last)
	if !write(link, head(request, "200 OK", "Content-Type: text/event-stream", header("Response-Stamp")+": stamp-of-"+r.id,
		fmt.Sprint(header("Weight-Versions")+": ", held.version), "Transfer-Encoding: chunked")) {
		return false
	}
	for number := last + 1; number <= r.shape.events; number++ {
		time.Sleep(r.shape.pause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, software)
		if !write(link, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
	}
	return write(link, "0\r\n\r\n")
}

// head is the head of an answer. It carries the request's id back, if the request has one.
func head(request *http.Request, status string, fields ...string) string {
	if id := request.Header.Get(header("Request-Id")); id != "" {
		fields = append(fields, header("Request-Id")+": "+id)
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
