package platform

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maximumBody is the largest request body in bytes.
const maximumBody = 64 << 20

// answer is what a service makes of a call.
type answer struct {
	status int
	// body is sent as it is when it is []byte, and otherwise as JSON.
	body any
	// wrote marks calls that may change state, whose answers can be lost.
	wrote bool
	// entityTag, when not empty, names this version of the body.
	entityTag string
}

// call handles one request whose body has been read.
type call func(request *http.Request, body []byte) answer

// gate puts the limits and faults of one service in front of its calls.
type gate struct {
	service ServiceName
	faults  *faultState
	limiter *rate.Limiter

	mutex      sync.Mutex
	statistics Statistics
	writes     int
}

// newGate makes the gate of a service.
func newGate(service ServiceName, faults *faultState) *gate {
	return &gate{service: service, faults: faults, limiter: rate.NewLimiter(rate.Inf, 1)}
}

// configure takes over changed limits.
func (g *gate) configure(settings ServiceFaults) {
	limit := rate.Inf
	if settings.RequestsPerSecond > 0 {
		limit = rate.Limit(settings.RequestsPerSecond)
	}
	g.limiter.SetLimit(limit)
	g.limiter.SetBurst(max(settings.Burst, 1))
}

// wrap makes an HTTP handler of a call.
func (g *gate) wrap(next call) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		// The body is read first since only then net/http notices a client that left.
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maximumBody))
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		if !g.admit(writer, request) {
			return
		}
		settings := g.current()
		sleep(request.Context(), milliseconds(settings.LatencyMilliseconds))
		if request.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		result := next(request, body)
		sleep(request.Context(), milliseconds(settings.AnswerLatencyMilliseconds))
		if result.wrote && g.loseAnswer(settings.LoseAnswerEvery) {
			panic(http.ErrAbortHandler)
		}
		send(writer, result)
	}
}

// admit applies outage and rate limit. It reports whether the call may go on.
func (g *gate) admit(writer http.ResponseWriter, request *http.Request) bool {
	g.count(func(statistics *Statistics) { statistics.Calls++ })
	settings, changed := g.faults.load()
	switch settings.of(g.service).Outage {
	case OutageRefuse:
		g.count(func(statistics *Statistics) { statistics.Unavailable++ })
		http.Error(writer, "service unavailable", http.StatusServiceUnavailable)
		return false
	case OutageHang:
		g.count(func(statistics *Statistics) { statistics.Unavailable++ })
		g.hang(request.Context(), changed)
		panic(http.ErrAbortHandler)
	case OutageNone:
	}
	if g.limiter.Allow() {
		return true
	}
	g.count(func(statistics *Statistics) { statistics.RateLimited++ })
	seconds := math.Ceil(1 / float64(g.limiter.Limit()))
	writer.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	http.Error(writer, "rate limited", http.StatusTooManyRequests)
	return false
}

// hang waits until the caller leaves or the outage ends.
func (g *gate) hang(ctx context.Context, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		var settings Faults
		settings, changed = g.faults.load()
		if settings.of(g.service).Outage != OutageHang {
			return
		}
	}
}

// current returns the service's faults.
func (g *gate) current() ServiceFaults {
	settings, _ := g.faults.load()
	return settings.of(g.service)
}

// loseAnswer counts a write and tells whether its answer is to be lost.
func (g *gate) loseAnswer(every int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.writes++
	if every <= 0 || g.writes%every != 0 {
		return false
	}
	g.statistics.LostAnswers++
	return true
}

// count changes the statistics.
func (g *gate) count(change func(*Statistics)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(&g.statistics)
}

// report returns the statistics.
func (g *gate) report() Statistics {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.statistics
}

// faultState holds the present faults and tells waiters of changes.
type faultState struct {
	mutex   sync.Mutex
	faults  Faults
	changed chan struct{}
}

// load returns the faults and a channel that closes when they change.
func (s *faultState) load() (Faults, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults, s.changed
}

// store replaces the faults.
func (s *faultState) store(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// send writes an answer.
func send(writer http.ResponseWriter, result answer) {
	if result.entityTag != "" {
		writer.Header().Set("ETag", result.entityTag)
	}
	if plain, isPlain := result.body.([]byte); isPlain {
		writer.Header().Set("Content-Type", "application/octet-stream")
		writer.WriteHeader(result.status)
		_, _ = writer.Write(plain) // a caller that left needs no answer
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(result.status)
	if result.body != nil {
		_ = json.NewEncoder(writer).Encode(result.body) // a caller that left needs no answer
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
