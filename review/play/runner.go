package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// firstWeights is the version of the weights that runners hold at their start, and loadTime how long others take to load.
const (
	firstWeights = 1
	loadTime     = 760 * time.Millisecond
)

// runner is a stand-in of a runner for language models. It keeps the parts of prompts under their salts, and remembers
// which request made each.
type runner struct {
	deployment *deployment
	id         string
	software   string
	// events is the length of each stream, with a pause before each event.
	events int
	pause  time.Duration
	// garblesEvery is the number of a daemon's requests of which one is answered by bytes that form no answer; zero is none.
	garblesEvery int
	// answerBytes is the length of each answer, if it is no stream; zero is a stream.
	answerBytes int
	// readsAfter is how long the runner waits before it reads a body.
	readsAfter time.Duration
	born       time.Time
	listener   net.Listener
	server     *http.Server
	// entry is what the runner writes in the store.
	entry map[string]any

	mutex  sync.Mutex
	memory map[keptPart]string
	kept   [][]any
	runs   []run
	// runsOf counts the requests of each daemon.
	runsOf  map[string]int
	weights weights
}

// keptPart is a part of a prompt under a salt.
type keptPart struct{ salt, id string }

// run is one request that a runner ran.
type run struct {
	request, tenant, salt string
	// target is the path and query as the runner received them.
	target string
	// used maps the parts that were found in memory to the requests that made them.
	used map[string]string
	// resumedAfter is the event after which the stream goes on; empty is from its start.
	resumedAfter string
}

// startRunner starts a runner and lists it in the store.
func (d *deployment) startRunner(id, software string, events int, pause time.Duration) (*runner, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(d.machine(100+len(d.runners)), "0"))
	if err != nil {
		return nil, err
	}
	made := &runner{
		deployment: d, id: id, software: software, events: events, pause: pause, born: time.Now(), listener: listener,
		memory: map[keptPart]string{}, runsOf: map[string]int{}, weights: weights{version: firstWeights},
	}
	made.server = &http.Server{Handler: http.HandlerFunc(made.dispatch), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = made.server.Serve(listener) }()
	d.runners = append(d.runners, made)
	made.entry = map[string]any{
		"service": serviceName, "address": listener.Addr().String(), "zone": d.zones[0], "version": software, "slots": 64,
		"state": "ready", "coldRemainingMs": 0, "stage": "both", "sequence": 1, "born": made.born.UnixMilli(),
		"models": []any{map[string]any{"name": modelName, "version": firstWeights, "adapters": []string{}}},
	}
	d.store.Put(names.TableServers, id, made.entry)
	d.record.note("%s: runner of software %s started, and is listed", id, software)
	return made, nil
}

func (r *runner) close() { _ = r.server.Close() }

// dispatch answers all calls.
func (r *runner) dispatch(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case names.CallReport:
		r.report(writer)
	case names.CallEvents:
		r.cacheEvents(writer, request)
	case names.CallList:
		r.answer(writer, map[string]any{"bootEpoch": 1, "nextPageToken": 0, "held": []any{}})
	case names.CallOrder:
		r.order(writer, request)
	default:
		r.serve(writer, request)
	}
}

// answer writes a JSON document that the runner says of itself.
func (r *runner) answer(writer http.ResponseWriter, document map[string]any) {
	document["born"] = r.born.UnixMilli()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(document) // the caller may have left
}

// cacheEvents answers with the events of the cache after a number, and holds the call while there are none.
func (r *runner) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(request.Header.Get(names.Wait))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		r.mutex.Lock()
		since = min(max(since, 0), len(r.kept))
		events, next := append([][]any{}, r.kept[since:]...), len(r.kept)
		r.mutex.Unlock()
		if len(events) > 0 || !time.Now().Before(until) || request.Context().Err() != nil {
			r.answer(writer, map[string]any{"bootEpoch": 1, "nextPageToken": next, "lost": false, "events": events})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// serve runs one request of a client, if it is meant for this runner and its weights.
func (r *runner) serve(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(r.readsAfter)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header := request.Header
	id := header.Get(names.RequestID)
	writer.Header().Set(names.RequestID, id)
	version, loading := r.present()
	expected := header.Get(names.ExpectVersion)
	if header.Get(names.ExpectInstance) != r.id || (expected != "" && expected != strconv.FormatUint(version, 10)) {
		writer.Header().Set(names.Instance, r.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if loading {
		writer.Header().Set(names.NotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	number := r.note(request, len(body))
	if r.garblesEvery > 0 && number%r.garblesEvery == 0 {
		r.garble(writer, id)
		return
	}
	r.stream(writer, request, version)
}

// note keeps what a request read and used, and returns which of its daemon's requests here it is.
func (r *runner) note(request *http.Request, bodyBytes int) int {
	header := request.Header
	made := run{
		request: header.Get(names.RequestID), tenant: header.Get(names.Tenant), salt: header.Get(names.Salt), target: request.RequestURI,
		used: map[string]string{}, resumedAfter: header.Get(names.LastEvent),
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	whole := true
	for part := range strings.SplitSeq(header.Get(names.Prefix), ",") {
		part, tokens, found := strings.Cut(part, ":")
		if !found {
			continue
		}
		key := keptPart{made.salt, part}
		maker, kept := r.memory[key]
		if whole = whole && kept; whole {
			made.used[part] = maker
			continue
		}
		r.memory[key] = made.request
		count, _ := strconv.Atoi(tokens)
		r.kept = append(r.kept, []any{len(r.kept) + 1, "+", made.salt, part, count, modelName})
	}
	r.runs = append(r.runs, made)
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	r.deployment.record.note("%s (software %s): runs %s (%s) from %s: tenant %q, salt %q, body %d B, after event %q, memory used %s",
		r.id, r.software, made.request, made.target, r.deployment.nameOf(from), made.tenant, made.salt, bodyBytes, made.resumedAfter, made.usedText())
	r.runsOf[from]++
	return r.runsOf[from]
}

// usedText describes the parts that were found in memory: with the requests that made them, or the number of many.
func (r *run) usedText() string {
	if len(r.used) > 3 {
		return fmt.Sprintf("%d parts", len(r.used))
	}
	return fmt.Sprint(r.used)
}

// nameOf returns the name of the daemon at an address.
func (d *deployment) nameOf(ip string) string {
	for _, each := range d.daemons {
		if each.ip == ip {
			return each.name
		}
	}
	return ip
}

// stream answers with events whose data is the software version.
func (r *runner) stream(writer http.ResponseWriter, request *http.Request, version uint64) {
	writer.Header().Set(names.Stamp, "stamp-of-"+r.id)
	writer.Header().Set(names.Weights, strconv.FormatUint(version, 10))
	if r.answerBytes > 0 {
		writer.Header().Set("Content-Length", strconv.Itoa(r.answerBytes))
		_, _ = io.WriteString(writer, strings.Repeat("a", r.answerBytes)) // the caller may have left
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get(names.LastEvent))
	controller := http.NewResponseController(writer)
	for event := last + 1; event <= r.events; event++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(r.pause):
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, r.software)
		if controller.Flush() != nil {
			return
		}
	}
}

// Bytes that form no answer come no faster than a machine's link of 1,000 Mbit/s carries them.
const (
	garbageChunk    = 1 << 20
	garbageInterval = 8400 * time.Microsecond
)

// garble answers with bytes that form no answer until the connection is closed.
func (r *runner) garble(writer http.ResponseWriter, id string) {
	socket, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = socket.Close() }()
	chunk := make([]byte, garbageChunk)
	_, _ = rand.Read(chunk) // never fails
	for index, each := range chunk {
		if each == '\n' || each == '\r' {
			chunk[index] = '.'
		}
	}
	sent := 0
	for next := time.Now(); ; next = next.Add(garbageInterval) {
		time.Sleep(time.Until(next))
		count, err := socket.Write(chunk)
		sent += count
		if err != nil {
			r.deployment.record.note("%s: %s was answered with %d MB that form no answer, until the connection was closed", r.id, id, sent>>20)
			return
		}
	}
}
