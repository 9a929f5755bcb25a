package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// weights is the state of a runner's weights.
type weights struct {
	version uint64
	// loading is the version that is loaded until readyAt; zero is none.
	loading  uint64
	readyAt  time.Time
	sequence uint64
	orders   []givenOrder
}

// givenOrder is an order that arrived at a runner.
type givenOrder struct {
	at time.Time
	// from is the daemon that sent it.
	from           string
	token, version uint64
	status         int
}

// settle ends a load whose time is over. The caller holds the mutex.
func (r *runner) settle() {
	if r.weights.loading > 0 && !time.Now().Before(r.weights.readyAt) {
		r.weights.version, r.weights.loading = r.weights.loading, 0
		clear(r.memory)
	}
}

// present returns the version of the weights, and whether others are loaded now.
func (r *runner) present() (version uint64, loading bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.settle()
	return r.weights.version, r.weights.loading > 0
}

func (r *runner) report(writer http.ResponseWriter) {
	r.mutex.Lock()
	r.settle()
	document := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": modelName, "version": r.weights.version, "adapters": []string{}}},
		"busy": r.weights.loading > 0, "sequence": r.weights.sequence, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 110556, "handles": 0,
	}
	r.mutex.Unlock()
	r.answer(writer, document)
}

// order takes an order to load weights. Fencing tokens are not checked, as on sites whose runners don't.
func (r *runner) order(writer http.ResponseWriter, request *http.Request) {
	var sent map[string]json.RawMessage
	if err := json.NewDecoder(request.Body).Decode(&sent); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	number := func(name string) uint64 {
		var read uint64
		_ = json.Unmarshal(sent[name], &read) // a missing one is zero
		return read
	}
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.settle()
	given := givenOrder{at: time.Now(), from: r.deployment.nameOf(from), token: number(names.Token), version: number("version"), status: http.StatusAccepted}
	_, conditional := sent["expected"]
	switch {
	case request.Header.Get(names.ExpectInstance) != r.id:
		given.status = http.StatusMisdirectedRequest
	case given.token == 0 || given.version == 0 || len(sent["holder"]) == 0:
		given.status = http.StatusBadRequest
	case r.weights.version == given.version && r.weights.loading == 0:
		given.status = http.StatusOK
	case r.weights.loading > 0 || (conditional && number("expected") != r.weights.sequence):
		given.status = http.StatusConflict
	default:
		r.weights.loading, r.weights.readyAt = given.version, given.at.Add(loadTime)
		r.weights.sequence++
	}
	r.weights.orders = append(r.weights.orders, given)
	r.deployment.record.note("%s: order of %s as %s with token %d to load version %d: answered %d", r.id, given.from, sent["holder"], given.token, given.version, given.status)
	writer.WriteHeader(given.status)
}
