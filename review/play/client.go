package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ask is one attempt of a client.
type ask struct {
	daemon   *daemon
	path, id string
	// key is empty for clients without one.
	key, prefix string
	deadline    time.Duration
	// leavesAfter is when the client closes its connection; zero is not before the deadline.
	leavesAfter time.Duration
	// lastEvent and resumes are set for a stream that is taken up again.
	lastEvent int
	resumes   string
}

// event is one event that a client received.
type event struct {
	id   int
	data string
}

// answered is what a client received to one attempt.
type answered struct {
	status     int
	events     []event
	retryAfter time.Duration
	err        error
}

// send makes one attempt on a connection of its own and reads its answer.
func (d *deployment) send(asked ask) answered {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(asked.leavesAfter, asked.deadline))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+asked.daemon.front()+asked.path, bytes.NewReader([]byte("question")))
	if err != nil {
		return answered{err: err}
	}
	request.Host, request.Close = hostName, true
	set := func(name, value string) {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	set(names.RequestID, asked.id)
	set(names.Deadline, strconv.FormatInt(asked.deadline.Milliseconds(), 10))
	set(names.Model, modelName)
	set(names.Usage, "420,40")
	set(names.Prefix, asked.prefix)
	if asked.key != "" {
		set("Authorization", "Bearer "+asked.key)
	}
	if asked.lastEvent > 0 {
		set(names.LastEvent, strconv.Itoa(asked.lastEvent))
		set(names.Resumes, asked.resumes)
	}
	d.record.note("client: %s sent to %s%s, key %q, after event %d of %q", asked.id, asked.daemon.name, asked.path, asked.key, asked.lastEvent, asked.resumes)
	got := receive(request)
	d.record.note("client: %s answered %s", asked.id, got)
	return got
}

// receive sends a request and reads its answer, event by event.
func receive(request *http.Request) answered {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := answered{status: response.StatusCode}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if response.StatusCode != http.StatusOK {
		return got
	}
	lines := bufio.NewScanner(response.Body)
	var next event
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			next.id, _ = strconv.Atoi(value)
		case "data":
			next.data = value
		case "":
			got.events = append(got.events, next)
		}
	}
	got.err = lines.Err()
	return got
}

// String describes an answer for the record.
func (a answered) String() string {
	var text strings.Builder
	text.WriteString(strconv.Itoa(a.status))
	if len(a.events) > 0 {
		first, last := a.events[0], a.events[len(a.events)-1]
		text.WriteString(", events " + strconv.Itoa(first.id) + " to " + strconv.Itoa(last.id) + " of software " + first.data)
	}
	if a.err != nil {
		text.WriteString(", broken off: " + a.err.Error())
	}
	return text.String()
}
