package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/stream"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

// drainBytes is how much may follow the end marker for the connection to be kept.
const drainBytes = 64

// drainTimeout is how long the end of the response may take after the end marker.
const drainTimeout = 200 * time.Millisecond

// Generate implements port.Engines.
func (c *Client) Generate(ctx context.Context, generation port.Generation) (port.TokenStream, error) {
	header := make(http.Header, 8)
	targetHeader(header, generation.Target)
	header.Set("Content-Type", contentTypeJSON)
	header.Set("Accept", contentTypeEvents)
	header.Set(enginewire.HeaderCacheSalt, generation.Salt.String())
	header.Set(enginewire.HeaderExpectedWeights, string(generation.Weights))
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.roundTrip(ctx, call{
		method: http.MethodPost, address: generation.Address, uri: generation.Path,
		header: header, body: generation.Body,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	if err := c.checkAnswer(response, generation); err != nil {
		cancel()
		closeBody(response)
		return nil, err
	}
	return &tokenStream{
		head:   readHead(response.Header),
		body:   response.Body,
		reader: newSSEReader(response.Body, c.options.MaxEventBytes),
		cancel: cancel,
	}, nil
}

// checkAnswer makes sure that the response is an answer to this very attempt.
func (c *Client) checkAnswer(response *http.Response, generation port.Generation) error {
	if err := checkEcho(response.Header, generation.Target); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return c.readRefusal(response)
	}
	weights := response.Header.Get(enginewire.HeaderWeights)
	if weights != "" && weights != string(generation.Weights) {
		return answeredWrong("back end ran weights %q in place of %q", weights, generation.Weights)
	}
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if mediaType != contentTypeEvents {
		return answeredWrong("back end answered with content type %q", mediaType)
	}
	return nil
}

// checkEcho refuses an answer that names another request or attempt: it says
// nothing about this one. A back end need not name them.
func checkEcho(header http.Header, target port.Target) error {
	if id := header.Get(enginewire.HeaderRequestID); id != "" && id != string(target.RequestID) {
		return crossed("answer is for request %q in place of %q", id, target.RequestID)
	}
	if attempt := header.Get(enginewire.HeaderAttempt); attempt != "" && attempt != strconv.Itoa(target.Attempt) {
		return crossed("answer is for attempt %s in place of %d", attempt, target.Attempt)
	}
	return nil
}

func crossed(format string, arguments ...any) error {
	return &port.AttemptError{Evidence: outcome.Sent, Cause: fmt.Errorf(format, arguments...)}
}

func answeredWrong(format string, arguments ...any) error {
	return &port.AttemptError{Evidence: outcome.Answered, Cause: fmt.Errorf(format, arguments...)}
}

// readRefusal reads a refusal's run state, code and message.
func (c *Client) readRefusal(response *http.Response) error {
	refused := &port.AttemptError{
		Evidence:   outcome.FromRefusal(identity.RunState(response.Header.Get(enginewire.HeaderRunState))),
		Status:     response.StatusCode,
		RetryAfter: retryAfter(response.Header),
		Head:       readHead(response.Header),
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxControlBytes))
	if err != nil {
		refused.Cause = err
		return refused
	}
	var refusal enginewire.Refusal
	if json.Unmarshal(body, &refusal) == nil {
		refused.Code = refusal.Error.Code
		refused.Message = refusal.Error.Message
	}
	return refused
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readHead reads what a back end says of itself.
func readHead(header http.Header) port.AnswerHead {
	head := port.AnswerHead{
		Weights:      identity.WeightsVersion(header.Get(enginewire.HeaderWeights)),
		CachedTokens: numberOr(header, enginewire.HeaderCachedTokens, -1),
		Leaving:      header.Get(enginewire.HeaderLeaving) == "true",
	}
	if incarnation, err := strconv.ParseUint(header.Get(enginewire.HeaderIncarnation), 10, 64); err == nil {
		head.Incarnation = identity.Incarnation(incarnation)
	}
	if version, err := strconv.ParseUint(header.Get(enginewire.HeaderStateVersion), 10, 64); err == nil {
		head.StateVersion = version
	}
	if header.Get(enginewire.HeaderRunning) != "" {
		head.Load = &enginewire.Load{
			Running:      numberOr(header, enginewire.HeaderRunning, 0),
			Waiting:      numberOr(header, enginewire.HeaderWaiting, 0),
			QueuedTokens: numberOr(header, enginewire.HeaderQueuedTokens, 0),
			FreeBlocks:   numberOr(header, enginewire.HeaderFreeBlocks, 0),
		}
	}
	return head
}

func numberOr(header http.Header, name string, fallback int) int {
	number, err := strconv.Atoi(header.Get(name))
	if err != nil || number < 0 {
		return fallback
	}
	return number
}

// tokenStream implements port.TokenStream.
type tokenStream struct {
	head   port.AnswerHead
	body   io.ReadCloser
	reader *sseReader
	cancel context.CancelFunc
	done   bool
}

// Head implements port.TokenStream.
func (s *tokenStream) Head() port.AnswerHead { return s.head }

// Buffered implements port.TokenStream.
func (s *tokenStream) Buffered() bool { return s.reader.buffered.Buffered() > 0 }

// Next implements port.TokenStream.
func (s *tokenStream) Next() (stream.Frame, error) {
	frame, err := s.reader.next()
	if err != nil {
		return frame, s.readError(err)
	}
	s.done = s.done || frame.Kind == stream.KindDone
	return frame, nil
}

func (s *tokenStream) readError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return &port.AttemptError{Evidence: outcome.Answered, Unreachable: true, Cause: err}
}

// Close implements port.TokenStream. After the end marker it reads to the end of
// the response, so that the connection is kept for another request.
func (s *tokenStream) Close() {
	if s.reader == nil {
		return
	}
	if s.done {
		timer := time.AfterFunc(drainTimeout, s.cancel)
		_, _ = io.CopyN(io.Discard, s.reader.buffered, drainBytes)
		timer.Stop()
	}
	s.reader.release()
	s.reader = nil
	_ = s.body.Close()
	s.cancel()
}

func closeBody(response *http.Response) {
	_ = response.Body.Close()
}
