package app_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/standin/app"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// TestPagesRunOnceAndALostAnswerIsInTheRecord asks for a page, loses the answer
// of a second and is refused a third.
func TestPagesRunOnceAndALostAnswerIsInTheRecord(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	runner := app.New(app.Options{ID: "a1", ServiceTime: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- runner.Serve(ctx, listener) }()
	defer func() {
		cancel()
		assert.NilError(t, <-done)
	}()
	// On a kept connection the standard client would itself repeat a request that
	// has an idempotency key.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	post := func(id, incarnation string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/lists/7?size=2", strings.NewReader("rice"))
		assert.NilError(t, err)
		request.Header.Set(enginewire.HeaderRequestID, id)
		request.Header.Set("Idempotency-Key", "key-"+id)
		request.Header.Set(enginewire.HeaderExpectedIncarnation, incarnation)
		return client.Do(request)
	}
	response, err := post("one", "")
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), app.Answer(http.MethodPost, "/lists/7?size=2", []byte("rice")))

	runner.SetFaults(backend.Faults{CutStreams: 1})
	_, err = post("two", "")
	assert.Assert(t, err != nil)
	response, err = post("three", "1")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(enginewire.HeaderRunState), string(identity.RunStateNotRun))

	runs := runner.Runs()
	assert.Equal(t, len(runs), 2)
	assert.Equal(t, runs[1].IdempotencyKey, "key-two")
	assert.Assert(t, runs[0].Finished && runs[1].Finished)
}
