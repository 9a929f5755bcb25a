package enginehttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/stream"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/standin/engine"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// startEngine runs a stand-in engine and returns its address.
func startEngine(t *testing.T, client *Client) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := engine.New(engine.Options{
		ID: "a", Models: []engine.ModelVersion{{Model: "coach", Version: "v1"}},
		WeightsTime: time.Millisecond, EventLateness: time.Millisecond, StopGrace: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- served.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := client.Status(t.Context(), listener.Addr().String())
		if err != nil || status.State != enginewire.StateServing {
			return poll.Continue("%v %s", err, status.State)
		}
		return poll.Success()
	})
	return listener.Addr().String()
}

var (
	longPrompt = strings.Repeat("lap 1 in 61 seconds; ", 40)
	testSalt   = prefix.SaltOf("ebene", "coach", "v1")
)

func completion(address string, attempt int) port.Generation {
	return port.Generation{
		Target: port.Target{Address: address, RequestID: "r", Attempt: attempt}, Path: enginewire.PathCompletions,
		Salt: testSalt, Weights: "v1",
		Body: []byte(`{"model":"coach","prompt":"` + longPrompt + `","max_tokens":3,"stream":true}`),
	}
}

// readStreamEnd reads a stream to its end marker.
func readStreamEnd(t *testing.T, source port.TokenStream) {
	t.Helper()
	defer source.Close()
	for {
		frame, err := source.Next()
		assert.NilError(t, err)
		if frame.Kind == stream.KindDone {
			return
		}
	}
}

// TestEngineControl goes through the engine's interface beyond completions: cache
// events, export and import of KV cache, fenced orders and refusals.
func TestEngineControl(t *testing.T) {
	client := New(Options{})
	t.Cleanup(client.CloseIdle)
	first, second := startEngine(t, client), startEngine(t, client)

	events, err := client.CacheEvents(t.Context(), first, 0)
	assert.NilError(t, err)
	source, err := client.Generate(t.Context(), completion(first, 1))
	assert.NilError(t, err)
	assert.Equal(t, source.Head().CachedTokens, 0)
	assert.Assert(t, source.Head().Incarnation > 0 && source.Head().Load != nil)
	readStreamEnd(t, source)

	chain := prefix.ChainOf(testSalt, []byte(longPrompt))
	last := chain[len(chain)-1]
	for stored := false; !stored; {
		batch, err := events.Next()
		assert.NilError(t, err)
		for _, event := range batch.Events {
			for _, block := range event.Blocks {
				stored = stored || prefix.Hash(block) == last
			}
		}
	}
	events.Close()

	exported, err := client.ExportKV(t.Context(), first, last)
	assert.NilError(t, err)
	assert.NilError(t, client.ImportKV(t.Context(), second, exported))
	source, err = client.Generate(t.Context(), completion(second, 2))
	assert.NilError(t, err)
	assert.Equal(t, source.Head().CachedTokens, len(chain)*prefix.BlockTokens)
	readStreamEnd(t, source)

	var refused *port.AttemptError
	assert.NilError(t, client.Order(t.Context(), first, enginewire.Order{Fence: 7, Kind: enginewire.OrderLeave}))
	err = client.Order(t.Context(), first, enginewire.Order{Fence: 6, Kind: enginewire.OrderReturn})
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Status, http.StatusConflict)
	assert.Equal(t, refused.Code, enginewire.CodeStaleFence)
	_, err = client.Generate(t.Context(), completion(first, 3))
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, enginewire.CodeLeaving)
	assert.Equal(t, refused.Evidence, outcome.DeclaredNotRun)
	assert.Assert(t, refused.Head.Leaving && refused.Head.StateVersion > 0)

	wrong := completion(second, 4)
	wrong.Incarnation = 1
	_, err = client.Generate(t.Context(), wrong)
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, enginewire.CodeWrongIncarnation)

	source, err = client.Generate(t.Context(), completion(second, 5))
	assert.NilError(t, err)
	assert.NilError(t, client.Cancel(t.Context(), second, enginewire.CancelRequest{RequestID: "r", Attempt: 5}))
	for err == nil {
		_, err = source.Next()
	}
	source.Close()
	assert.Assert(t, errors.Is(err, io.EOF) || errors.As(err, &refused), "%v", err)
}
