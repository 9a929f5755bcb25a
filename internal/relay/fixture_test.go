package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/cachewatch"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/retry"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// fakeControl is a Control with fixed results.
type fakeControl struct {
	state     *State
	published atomic.Pointer[State]
	confirmed time.Time
	steady    time.Time
}

func (c *fakeControl) State() *State {
	if published := c.published.Load(); published != nil {
		return published
	}
	return c.state
}

// publish replaces the state while requests are running.
func (c *fakeControl) publish(state *State) { c.published.Store(state) }

func (c *fakeControl) ConfirmedAt() time.Time { return c.confirmed }
func (c *fakeControl) SteadySince() time.Time { return c.steady }

// behaviour is what a scripted backend does in one attempt.
type behaviour int

const (
	behaveServe behaviour = iota
	behaveUnreached
	behaveLostBeforeRun
	behaveLostAfterRun
	behaveRejected
	behaveReplaced
	behaveInvalid
	behaveFailure
	behaveCutBody
	behaveCutStream
	behaviours

	// behaveRestarted names another incarnation than the listed one before the request is sent; it is never drawn.
	behaveRestarted
	// behaveEndInEvent ends a stream inside an event with complete framing; it is never drawn.
	behaveEndInEvent
	// behaveMalformed sends bytes that form no answer; it is never drawn.
	behaveMalformed
)

// scriptedBackends follow a script, attempt by attempt, and record what actually ran.
type scriptedBackends struct {
	mutex      sync.Mutex
	script     []behaviour
	streaming  bool
	events     int
	dispatches []*Dispatch
	ran        int
	// reach is the result of attempts to connect.
	reach backendpool.ConnectResult
	// hang lists the attempts that block until their context ends.
	hang map[int]bool
	// onDispatch is called for each attempt; nil is not called.
	onDispatch func()
	// endless returns the answer of an attempt; nil, as the function or its result, follows the script.
	endless func(number int) *Answer
	// incarnation is what backends name to attempts that ask for it; nil names none.
	incarnation func(backend identity.BackendID) identity.Incarnation
	// linkLost lists the attempts whose network link fails.
	linkLost map[int]bool
}

func (b *scriptedBackends) Reach(context.Context, string) backendpool.ConnectResult { return b.reach }

func (b *scriptedBackends) next(dispatch *Dispatch) (behaviour, int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	copied := *dispatch
	b.dispatches = append(b.dispatches, &copied)
	number := len(b.dispatches) - 1
	if number >= len(b.script) {
		return behaveServe, number
	}
	return b.script[number], number
}

// unreached counts the attempts that reached no backend.
func (b *scriptedBackends) unreached() int {
	count := 0
	for number := range b.dispatches {
		if number < len(b.script) && b.script[number] == behaveUnreached {
			count++
		}
	}
	return count
}

func (b *scriptedBackends) run() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ran++
}

// Send implements Backends.
func (b *scriptedBackends) Send(ctx context.Context, dispatch *Dispatch) (*Answer, error) {
	action, number := b.next(dispatch)
	if b.onDispatch != nil {
		b.onDispatch()
	}
	if b.linkLost[number] {
		dispatch.OnLinkLost()
	}
	if b.hang[number] {
		b.run()
		<-ctx.Done()
		return nil, &SendError{Evidence: outcome.Sent, Cause: context.Cause(ctx)}
	}
	if b.endless != nil {
		if answer := b.endless(number); answer != nil {
			return answer, nil
		}
	}
	switch action {
	case behaveRestarted:
		return nil, &SendError{Evidence: outcome.Unreached, Cause: ErrRestarted}
	case behaveUnreached:
		return nil, &SendError{Evidence: outcome.Unreached, Cause: errors.New("no connection")}
	case behaveLostBeforeRun:
		return nil, &SendError{Evidence: outcome.Sent, Cause: errors.New("reset")}
	case behaveLostAfterRun:
		b.run()
		return nil, &SendError{Evidence: outcome.Sent, Cause: errors.New("reset")}
	case behaveMalformed:
		b.run()
		return nil, &SendError{Evidence: outcome.Sent, Cause: outcome.NewMalformedError("status code", "000")}
	case behaveRejected:
		return b.answer(VerdictNotRun, http.StatusServiceUnavailable, "full"), nil
	case behaveReplaced:
		return b.answer(VerdictReplaced, http.StatusMisdirectedRequest, ""), nil
	}
	b.run()
	switch action {
	case behaveInvalid:
		return b.answer(VerdictInvalid, http.StatusOK, "x"), nil
	case behaveFailure:
		return b.answer(VerdictAnswer, http.StatusInternalServerError, "broken"), nil
	case behaveCutBody:
		return cut(b.answer(VerdictAnswer, http.StatusOK, "whole bo")), nil
	}
	if !b.streaming {
		return b.answer(VerdictAnswer, http.StatusOK, "whole body"), nil
	}
	first := 1
	if dispatch.ResumeAfter != "" {
		last, _ := strconv.Atoi(dispatch.ResumeAfter)
		first = last + 1
	}
	if action == behaveCutStream {
		// A stream contains nothing but its events, even if none is left to resume.
		cutAt := min(first+(b.events-first)/2, b.events)
		stream := eventsText(first, cutAt) + "id: 9"
		return cut(b.stream(dispatch, stream)), nil
	}
	if action == behaveEndInEvent {
		return b.stream(dispatch, eventsText(first, b.events-1)+fmt.Sprintf("id: %d\ndata: pi", b.events)), nil
	}
	return b.stream(dispatch, eventsText(first, b.events)), nil
}

func eventsText(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

func (b *scriptedBackends) answer(verdict Verdict, status int, body string) *Answer {
	return &Answer{
		Verdict: verdict, Delimited: true,
		Head: Head{Status: status, Header: http.Header{}, Length: int64(len(body))},
		Body: io.NopCloser(strings.NewReader(body)),
	}
}

func (b *scriptedBackends) stream(dispatch *Dispatch, text string) *Answer {
	answer := b.answer(VerdictAnswer, http.StatusOK, text)
	if b.incarnation != nil && dispatch.Confirmation != ConfirmationNone {
		answer.Incarnation = b.incarnation(dispatch.Backend)
	}
	answer.Stream = true
	answer.Head.Length = -1
	return answer
}

// cut makes an answer's body end with a connection reset.
func cut(answer *Answer) *Answer {
	answer.Body = io.NopCloser(io.MultiReader(answer.Body, failingReader{}))
	return answer
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// recordingCaller records what a caller receives.
type recordingCaller struct {
	head    *Head
	body    strings.Builder
	aborted bool
	refusal *Refusal
	finals  int
}

func (c *recordingCaller) Begin(head Head) error {
	c.head = &head
	c.finals++
	return nil
}

func (c *recordingCaller) Write(piece []byte) error {
	c.body.Write(piece)
	return nil
}
func (c *recordingCaller) Flush() error { return nil }
func (c *recordingCaller) Abort()       { c.aborted = true }

func (c *recordingCaller) Refuse(refusal Refusal) {
	c.refusal = &refusal
	c.finals++
}

// lastObserver keeps the completion of the last refused request.
type lastObserver struct{ last Completion }

func (j *lastObserver) Refused(_ *Request, ended *Completion, _ Refusal) {
	if ended != nil {
		j.last = *ended
	}
}
func (*lastObserver) Served(*Request, *Completion)                   {}
func (*lastObserver) Retried(*Request, Attempt)                      {}
func (*lastObserver) Ejected(identity.BackendID, backendpool.Result) {}
func (*lastObserver) Noticed(*Request, identity.BackendID, backendpool.Notice) {
}

// fixture is a relay with scripted backends.
type fixture struct {
	control  *fakeControl
	backends *scriptedBackends
	pool     *backendpool.Pool
	budgets  *RetryBudgets
	relay    *Relay
	observer *lastObserver
	route    *routing.Route
}

// newFixture returns a relay with one route and the given number of backends.
func newFixture(route routing.Route, count int, floor int) *fixture {
	route.Name, route.Host, route.PathPrefix = "r", "h.example", "/"
	route.Split = []routing.Share{{Service: "s", Weight: 1}}
	configuration := &routing.Configuration{
		Version: 1, Routes: []routing.Route{route},
		Tenants: []routing.Tenant{
			{Name: "open", Keys: []string{"key"}},
			{Name: "walled", Keys: []string{"walled key"}, Isolated: true},
		},
	}
	made := &fixture{
		control:  &fakeControl{state: &State{Table: routing.Compile(configuration)}, confirmed: time.Now()},
		backends: &scriptedBackends{hang: map[int]bool{}, linkLost: map[int]bool{}},
		pool:     backendpool.New("a"),
		observer: &lastObserver{},
		route:    &route,
	}
	made.budgets = NewRetryBudgets(retry.Limits{Window: 10 * time.Second, Ratio: 0.2, Floor: floor})
	made.pool.Update(backendList(count))
	cache := &cachewatch.Cache{}
	made.relay = New(Options{
		Control: made.control, Pool: made.pool, Backends: made.backends, Budgets: made.budgets, Observer: made.observer,
		Memory: promptcache.New(), Stores: func(string) *cachewatch.Cache { return cache }, Daemons: func() int { return 1 },
		Policy: Policy{
			MaxConfirmationAgeForKeys: 4 * time.Second, MaxConfirmationAgeForDenials: time.Second,
			VersionGrace: 5 * time.Second, RetryAfter: 250 * time.Millisecond,
		},
	})
	return made
}

func backendList(count int) []backendpool.Backend {
	var list []backendpool.Backend
	for index := range count {
		list = append(list, backendpool.Backend{
			ID: identity.BackendID(fmt.Sprintf("b%d", index)), Service: "s", Zone: "a",
			Address: fmt.Sprintf("10.0.0.%d:80", index), Weights: map[identity.ModelName]uint64{"m": 1},
		})
	}
	return list
}

// ask serves one request and returns what the caller received.
func (w *fixture) ask(change func(*Request)) *recordingCaller {
	request := &Request{
		ID: "q", Method: http.MethodPost, Host: "h.example", Target: "/x", Path: "/x",
		Header: http.Header{}, Key: "key", ArrivedAt: time.Now(), Timeout: 10 * time.Second,
	}
	if change != nil {
		change(request)
	}
	caller := &recordingCaller{}
	w.relay.Serve(context.Background(), request, caller)
	return caller
}
