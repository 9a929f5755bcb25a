package callerhttp

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/adapter/enginehttp"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/standin/engine"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const longAnswer = 100

// startStandin runs a stand-in engine with the test model.
func startStandin(t testing.TB, id identity.BackendID) (*engine.Engine, scheduler.Backend) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := engine.New(engine.Options{
		ID: id, Models: []engine.ModelVersion{{Model: testModel, Version: "v1"}},
		WeightsTime: time.Millisecond, StopGrace: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- served.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	address := listener.Addr().String()
	client := enginehttp.New(enginehttp.Options{})
	t.Cleanup(client.CloseIdle)
	var status enginewire.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err = client.Status(context.Background(), address)
		if err != nil || status.State != enginewire.StateServing {
			return poll.Continue("%v %v", err, status.State)
		}
		return poll.Success()
	})
	return served, scheduler.Backend{
		ID: id, Kind: identity.KindEngine, Address: address, Incarnation: status.Incarnation, Models: status.Models,
	}
}

func clientOf(world *world, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(world.server.URL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func longChat() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     testModel,
		MaxTokens: openai.Int(longAnswer),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Who won at \"Ebène\"?\n")},
	}
}

func longAnswerText() string {
	prompt := prefix.RenderChat([]prefix.ChatMessage{{Role: "user", Content: "Who won at \"Ebène\"?\n"}})
	return model.AnswerOf(testModel, "v1", prompt).Text(0, longAnswer)
}

// TestOpenAIClient uses the public client library against the router before
// stand-in engines, of which the first cuts the answer.
func TestOpenAIClient(t *testing.T) {
	first, firstBackend := startStandin(t, "first")
	_, secondBackend := startStandin(t, "second")
	world := newWorld(t, Limits{}, firstBackend, secondBackend)
	client := clientOf(world, testKey)

	first.SetFaults(backend.Faults{CutStreams: 2, CutAfterTokens: 40})
	plain, err := client.Chat.Completions.New(t.Context(), longChat())
	assert.NilError(t, err)
	assert.Equal(t, plain.Choices[0].Message.Content, longAnswerText())
	assert.Equal(t, plain.Choices[0].FinishReason, "length")
	assert.Equal(t, plain.Usage.CompletionTokens, int64(longAnswer))

	params := longChat()
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	streaming := client.Chat.Completions.NewStreaming(t.Context(), params)
	var gathered openai.ChatCompletionAccumulator
	for streaming.Next() {
		assert.Assert(t, gathered.AddChunk(streaming.Current()))
	}
	assert.NilError(t, streaming.Err())
	assert.Equal(t, gathered.Choices[0].Message.Content, longAnswerText())
	assert.Equal(t, gathered.Usage.CompletionTokens, int64(longAnswer))
	assert.Equal(t, len(first.Runs()), 2, "both answers began on the engine that cut them")

	models, err := client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, testModel)
}

// TestOpenAIClientSeesErrors checks that the library reads failures, and that it
// does not repeat on its own what may have run.
func TestOpenAIClientSeesErrors(t *testing.T) {
	engine := newFakeEngine(t, func(r *engineReply) { r.token(0); cut(r) })
	world := newWorld(t, Limits{}, engineBackend("a", engine.address()))
	var failed *openai.Error

	stranger := clientOf(world, "guess")
	_, err := stranger.Chat.Completions.New(t.Context(), longChat())
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.StatusCode, 401)
	assert.Equal(t, failed.Code, codeInvalidKey)

	client := openai.NewClient(option.WithBaseURL(world.server.URL+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(3),
		option.WithHeader(headerNotRepeatable, "true"))
	_, err = client.Chat.Completions.New(t.Context(), longChat())
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Code, codeBackendFailed)
	assert.Assert(t, strings.Contains(failed.RawJSON(), `"run_state":"ran"`), failed.RawJSON())
	assert.Equal(t, engine.callCount(), 1)

	streaming := client.Chat.Completions.NewStreaming(t.Context(), longChat())
	for streaming.Next() {
		assert.Equal(t, streaming.Current().Choices[0].Delta.Content, answerTokens[0])
	}
	assert.ErrorContains(t, streaming.Err(), codeBackendFailed)
}

// TestOpenAIClientCancels leaves in mid-stream and waits for the engine to stop.
func TestOpenAIClientCancels(t *testing.T) {
	served, standin := startStandin(t, "a")
	served.SetFaults(backend.Faults{TokenDelayMilliseconds: 20})
	world := newWorld(t, Limits{}, standin)
	client := clientOf(world, testKey)
	engines := enginehttp.New(enginehttp.Options{})
	t.Cleanup(engines.CloseIdle)
	ctx, cancel := context.WithCancel(t.Context())
	streaming := client.Chat.Completions.NewStreaming(ctx, longChat())
	assert.Assert(t, streaming.Next())
	cancel()
	for streaming.Next() {
	}
	assert.Assert(t, errors.Is(streaming.Err(), context.Canceled), "%v", streaming.Err())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if active := world.handler.Active(); active > 0 {
			return poll.Continue("%d active", active)
		}
		status, err := engines.Status(t.Context(), standin.Address)
		if err != nil || status.Load.Running > 0 {
			return poll.Continue("%v, the engine runs %d", err, status.Load.Running)
		}
		return poll.Success()
	})
	assert.Assert(t, served.Runs()[0].Tokens < longAnswer)
}
