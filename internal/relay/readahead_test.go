package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// stallingCaller blocks writes while it is stalled.
type stallingCaller struct {
	recordingCaller
	mutex   sync.Mutex
	stalled chan struct{}
}

// stall blocks writes until the returned function is called.
func (c *stallingCaller) stall() (resume func()) {
	stalled := make(chan struct{})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stalled = stalled
	return sync.OnceFunc(func() { close(stalled) })
}

func (c *stallingCaller) Write(piece []byte) error {
	c.mutex.Lock()
	stalled := c.stalled
	c.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
	return c.recordingCaller.Write(piece)
}

// slowCallerFixture is a relay whose only backend streams what is written to a pipe.
type slowCallerFixture struct {
	*fixture
	ledger *buffers.Tracker
	caller *stallingCaller
	body   *io.PipeWriter
	done   chan struct{}
}

// pipeBackends answer with a stream read from a pipe.
type pipeBackends struct {
	*scriptedBackends
	body *io.PipeReader
}

func (b *pipeBackends) Send(ctx context.Context, dispatch *Dispatch) (*Answer, error) {
	context.AfterFunc(ctx, func() { _ = b.body.CloseWithError(context.Cause(ctx)) })
	answer := b.stream(dispatch, "")
	answer.Body = b.body
	return answer, nil
}

// checkLead advances the time of the ledger's checks, so that any stall counts as a long one and
// tests need not wait.
const checkLead = time.Second

// newSlowCallerFixture starts a stream to a caller. The ledger checks for slow callers
// continuously.
func newSlowCallerFixture(t interface{ Cleanup(func()) }, limits buffers.Limits) *slowCallerFixture {
	made := &slowCallerFixture{
		fixture: newFixture(routing.Route{Kind: routing.KindStreaming, MaxAttempts: 2, Resumable: true, GapTarget: 100 * time.Millisecond}, 1, 10), ledger: buffers.NewTracker(limits, nil),
		caller: &stallingCaller{}, done: make(chan struct{}),
	}
	var reader *io.PipeReader
	reader, made.body = io.Pipe()
	made.relay.options.Backends = &pipeBackends{scriptedBackends: made.backends, body: reader}
	account := made.ledger.Open(func() {})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			made.ledger.Check(time.Now().Add(checkLead))
			time.Sleep(time.Millisecond)
		}
	}()
	go func() {
		defer close(made.done)
		defer account.Close()
		made.relay.Serve(ctx, &Request{
			ID: "q", Method: http.MethodPost, Host: "h.example", Target: "/x", Path: "/x",
			Header: http.Header{}, Key: "key", ArrivedAt: time.Now(), Timeout: time.Minute, Account: account,
		}, made.caller)
	}()
	return made
}

// put writes to the stream. If the text is not read within the given time, it calls otherwise and
// then continues to wait.
func (w *slowCallerFixture) put(text string, within time.Duration, otherwise func()) {
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.WriteString(w.body, text)
	}()
	select {
	case <-read:
	case <-time.After(within):
		otherwise()
		<-read
	}
}

// TestSlowCallerStreamIsReadAhead stalls a caller in the middle of a stream. A backend ends an
// answer that is not read for some seconds, so without read-ahead a caller that stalls briefly
// lost the rest of the stream. The backend was also mistaken for a silent one, and the stream was
// sent to another.
func TestSlowCallerStreamIsReadAhead(t *testing.T) {
	w := newSlowCallerFixture(t, buffers.Limits{Total: 1 << 20})
	resume := w.caller.stall()
	defer resume()
	for id := 1; id <= 400; id++ {
		w.put(eventsText(id, id), time.Second, func() { t.Fatalf("event %d is not read", id) })
	}
	time.Sleep(time.Second) // longer than a backend may be silent
	held := w.ledger.Usage().Held
	assert.Assert(t, held > 0 && held < 80<<10, "%d bytes are held", held)
	resume()
	assert.NilError(t, w.body.Close())
	<-w.done
	assert.Equal(t, w.caller.body.String(), eventsText(1, 400))
	assert.Assert(t, !w.caller.aborted)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.ledger.Usage().Held == 0 {
			return poll.Success()
		}
		return poll.Continue("bytes are still held")
	})
}

// TestReadAheadIsBounded stalls a caller permanently. No more than the bound may be read ahead for
// it.
func TestReadAheadIsBounded(t *testing.T) {
	w := newSlowCallerFixture(t, buffers.Limits{Total: 1 << 20})
	resume := w.caller.stall()
	defer resume()
	event := "data: " + strings.Repeat("x", 10<<10) + "\n\n"
	full := false
	for taken := 0; !full; taken++ {
		assert.Assert(t, taken < 10, "%d events of 10 kB are read", taken)
		w.put(event, 200*time.Millisecond, func() {
			full = true
			assert.Assert(t, w.ledger.Usage().Held <= readAheadBytes)
			resume()
		})
	}
}

// TestSlowCallersGetTheWholeStream draws events and stalls. The caller must receive exactly the
// stream that was written.
func TestSlowCallersGetTheWholeStream(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(drawn, "events")
		stalls := map[int]int{}
		for range rapid.IntRange(0, 3).Draw(drawn, "stalls") {
			stalls[rapid.IntRange(0, count).Draw(drawn, "at")] = rapid.IntRange(0, 20).Draw(drawn, "for")
		}
		room := rapid.SampledFrom([]int64{8 << 10, 1 << 20}).Draw(drawn, "room")
		var cleanups cleanups
		defer cleanups.run()
		w := newSlowCallerFixture(&cleanups, buffers.Limits{Total: room})
		var want strings.Builder
		resume := func() {}
		resumeAt := -1
		for id := 1; id <= count; id++ {
			if length, stalls := stalls[id]; stalls {
				resume()
				resume, resumeAt = w.caller.stall(), id+length
			}
			if id == resumeAt {
				resume()
			}
			text := eventsText(id, id) + "data: " + strings.Repeat("y", rapid.IntRange(0, 300).Draw(drawn, "length")) + "\n\n"
			want.WriteString(text)
			w.put(text, 50*time.Millisecond, resume)
		}
		resume()
		_ = w.body.Close()
		<-w.done
		if got := w.caller.body.String(); got != want.String() {
			drawn.Fatalf("the caller has %d bytes of %d", len(got), want.Len())
		}
	})
}

// cleanups are called at the end of a draw.
type cleanups []func()

func (c *cleanups) Cleanup(clean func()) { *c = append(*c, clean) }

func (c *cleanups) run() {
	for _, clean := range *c {
		clean()
	}
}
