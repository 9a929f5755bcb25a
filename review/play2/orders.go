package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// loadTime is how long a runner takes for new weights.
const loadTime = 630 * time.Millisecond

// weights is what a runner holds and what it knows of orders.
type weights struct {
	version, loading, sequence, fence uint64
	// unanswered is how many orders are left without an answer, each to be carried out after delay.
	unanswered int
	delay      time.Duration
}

// order is an order to load weights.
type order struct{ version, token, expected uint64 }

// readOrder reads an order. Other fields are texts, and are passed over.
func readOrder(body []byte) (order, error) {
	var fields map[string]any
	if err := json.Unmarshal(body, &fields); err != nil {
		return order{}, err
	}
	number := func(name string) uint64 {
		value, _ := fields[name].(float64)
		return uint64(value)
	}
	return order{version: number(names.Version), token: number(names.Token), expected: number(names.Expected)}, nil
}

func (r *runner) state() weights {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.weights
}

// leaveUnanswered makes the runner leave its next orders without an answer, and carry them out late.
func (r *runner) leaveUnanswered(count int, delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.weights.unanswered, r.weights.delay = count, delay
}

// answerOrder carries out an order, or leaves it unanswered.
func (r *runner) answerOrder(link *connection, request *http.Request, body []byte) bool {
	got, err := readOrder(body)
	if err != nil {
		return write(link, head(request, "400 Bad Request", "Content-Length: 0"))
	}
	if delay, left := r.takeUnanswered(); left {
		r.record.note("runner %s leaves an order for version %d unanswered (expected %d)", r.id, got.version, got.expected)
		time.AfterFunc(delay, func() {
			r.record.note("runner %s carries out the late order for version %d: %s", r.id, got.version, r.take(got))
		})
		return true
	}
	status := r.take(got)
	r.record.note("runner %s gets an order for version %d (expected %d): %s", r.id, got.version, got.expected, status)
	return write(link, head(request, status, "Content-Length: 0"))
}

func (r *runner) takeUnanswered() (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.weights.unanswered == 0 {
		return 0, false
	}
	r.weights.unanswered--
	return r.weights.delay, true
}

// take begins what an order asks for and returns the status.
func (r *runner) take(got order) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held := &r.weights
	switch {
	case got.token < held.fence:
		return "412 Precondition Failed"
	case held.loading > 0 || got.expected != held.sequence:
		return "409 Conflict"
	case got.version == held.version:
		return "200 OK"
	}
	held.fence, held.loading = got.token, got.version
	held.sequence++
	born := r.born
	time.AfterFunc(loadTime, func() { r.loaded(born, got.version) })
	return "202 Accepted"
}

// loaded ends a load that a life began, and writes the runner's row.
func (r *runner) loaded(born time.Time, version uint64) {
	r.mutex.Lock()
	if !r.born.Equal(born) {
		r.mutex.Unlock()
		return
	}
	r.weights.version, r.weights.loading = version, 0
	list := r.list
	r.mutex.Unlock()
	r.record.note("runner %s holds version %d", r.id, version)
	if list != nil {
		list()
	}
}
