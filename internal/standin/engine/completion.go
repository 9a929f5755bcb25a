package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// completion is one completion request on its way through the engine.
type completion struct {
	body         *completionBody
	chat         bool
	prompt       []byte
	answer       model.Answer
	firstOffset  int
	outputTokens int
	finishReason string
	request      model.Request
}

func (l *life) serveCompletions(writer http.ResponseWriter, request *http.Request) {
	l.serve(writer, request, false)
}

func (l *life) serveChat(writer http.ResponseWriter, request *http.Request) {
	l.serve(writer, request, true)
}

// serve takes a completion from its body to the end of its answer.
func (l *life) serve(writer http.ResponseWriter, request *http.Request, chat bool) {
	body, err := decodeBody(writer, request)
	if err != nil {
		l.Refuse(writer, enginewire.CodeInvalidRequest, err.Error())
		return
	}
	if !l.Admit(writer, request) {
		return
	}
	asked, code, message := l.prepare(request, body, chat)
	if code != "" {
		l.Refuse(writer, code, message)
		return
	}
	if asked.firstOffset == asked.outputTokens {
		l.answerFinished(writer, asked)
		return
	}
	results, code := l.driver.submit(asked.request)
	if code != "" {
		l.Refuse(writer, code, "the engine did not take the request")
		return
	}
	l.answerResults(writer, request, asked, results)
}

// prepare checks a completion and works out what the engine has to do. It
// returns a refusal code and message when it can't run.
func (l *life) prepare(request *http.Request, body *completionBody, chat bool) (*completion, string, string) {
	version, ready := l.driver.loaded(body.Model)
	expected := identity.WeightsVersion(request.Header.Get(enginewire.HeaderExpectedWeights))
	if !ready {
		return nil, enginewire.CodeModelNotLoaded, "the model is not loaded here"
	}
	if expected != "" && expected != version {
		return nil, enginewire.CodeWrongWeights, "the model has other weights here"
	}
	salt, err := saltOf(request)
	if err != nil {
		return nil, enginewire.CodeInvalidRequest, err.Error()
	}
	asked := &completion{body: body, chat: chat, prompt: []byte(body.Prompt), finishReason: "stop"}
	if chat {
		asked.prompt = prefix.RenderChat(body.Messages)
	}
	limited := false
	asked.outputTokens, limited = body.outputTokens()
	if limited {
		asked.finishReason = "length"
	}
	if len(asked.prompt) == 0 || asked.outputTokens < 1 {
		return nil, enginewire.CodeInvalidRequest, "the prompt is empty or the answer has no tokens"
	}
	asked.answer = model.AnswerOf(body.Model, version, asked.prompt)
	if !asked.resume() {
		return nil, enginewire.CodeInvalidRequest, "the resumed text is not the start of the answer"
	}
	asked.setRequest(request, version, salt)
	return asked, "", ""
}

// resume takes the resume offset. A text that is not this answer's start shows a
// seam gone wrong, which a real engine would not notice.
func (c *completion) resume() bool {
	resumed := c.body.Resume
	if resumed == nil {
		return true
	}
	if resumed.Offset < 0 || resumed.Offset > c.outputTokens {
		return false
	}
	c.firstOffset = resumed.Offset
	return resumed.Text == c.answer.Text(0, resumed.Offset)
}

func (c *completion) setRequest(request *http.Request, version identity.WeightsVersion, salt prefix.Salt) {
	id, attempt := backend.Attempt(request)
	priority, _ := strconv.Atoi(request.Header.Get(enginewire.HeaderPriority))
	whole := append(append([]byte(nil), c.prompt...), c.answer.Text(0, c.outputTokens)...)
	c.request = model.Request{
		Key:           model.Key{RequestID: id, Attempt: attempt},
		Model:         c.body.Model,
		Version:       version,
		Chain:         prefix.ChainOf(salt, whole),
		ContextTokens: prefix.Tokens(len(c.prompt)) + c.firstOffset,
		FirstOffset:   c.firstOffset,
		OutputTokens:  c.outputTokens,
		Priority:      priority,
	}
	if id == "" {
		c.request.Key.RequestID = anonymousID()
	}
}

// saltOf reads the cache salt; without one the cache is shared by all requests
// that have none.
func saltOf(request *http.Request) (prefix.Salt, error) {
	text := request.Header.Get(enginewire.HeaderCacheSalt)
	if text == "" {
		return 0, nil
	}
	return prefix.ParseSalt(text)
}

// answerResults waits for the start of a submitted request and answers it.
func (l *life) answerResults(writer http.ResponseWriter, request *http.Request, asked *completion, results <-chan model.Result) {
	defer l.driver.cancel(asked.request.Key)
	var first model.Result
	select {
	case first = <-results:
	case <-request.Context().Done():
		return
	}
	switch first := first.(type) {
	case model.Started:
		l.answerStarted(writer, request, asked, first, results)
	case model.Refused:
		l.Refuse(writer, first.Code, "the weights changed while the request waited")
	default:
		l.Refuse(writer, backend.CodeCancelled, "the request was cancelled while it waited")
	}
}

// answerStarted sends the answer of a request that runs, and keeps the record.
func (l *life) answerStarted(writer http.ResponseWriter, request *http.Request, asked *completion, started model.Started, results <-chan model.Result) {
	run := l.RecordRun(backend.Run{
		RequestID: asked.request.Key.RequestID, Attempt: asked.request.Key.Attempt,
		Incarnation: l.driver.events.incarnation, Path: request.URL.Path, FromOffset: asked.firstOffset,
		CachedTokens: started.CachedTokens, ContextTokens: asked.request.ContextTokens,
	})
	cachedTokens := min(started.CachedTokens, prefix.Tokens(len(asked.prompt)))
	l.setRunHeaders(writer.Header(), asked, cachedTokens)
	answer := newAnswerWriter(writer, asked, cachedTokens)
	answer.begin()
	if !l.relay(request.Context(), answer, run, results) {
		panic(http.ErrAbortHandler) // the connection must not look like an end
	}
	answer.end()
}

// relay passes tokens on as they come. It returns false when the answer is not
// whole: it was cut, cancelled, or the caller went away.
func (l *life) relay(ctx context.Context, answer *answerWriter, run *backend.Run, results <-chan model.Result) bool {
	cutAfter, cut := l.TakeCut()
	given := 0
	for {
		token, open := nextToken(ctx, results)
		if !open || cut && given >= cutAfter {
			return false
		}
		pause.For(ctx, backend.Milliseconds(l.Faults().TokenDelayMilliseconds))
		given++
		finished := token.Offset+1 == answer.asked.outputTokens
		l.UpdateRun(run, func(run *backend.Run) { run.Tokens, run.Finished = given, finished })
		answer.token(token.Offset)
		if finished {
			return true
		}
	}
}

// nextToken waits for a token. It returns false at the end of the results or of
// the context.
func nextToken(ctx context.Context, results <-chan model.Result) (model.Token, bool) {
	select {
	case result := <-results:
		token, isToken := result.(model.Token)
		return token, isToken
	case <-ctx.Done():
		return model.Token{}, false
	}
}

// answerFinished answers a resume at the very end of an answer.
func (l *life) answerFinished(writer http.ResponseWriter, asked *completion) {
	l.setRunHeaders(writer.Header(), asked, 0)
	answer := newAnswerWriter(writer, asked, 0)
	answer.begin()
	answer.finishWithoutToken()
	answer.end()
}

func (l *life) setRunHeaders(header http.Header, asked *completion, cachedTokens int) {
	l.SetHeaders(header)
	load := l.driver.load()
	header.Set(enginewire.HeaderWeights, string(asked.request.Version))
	header.Set(enginewire.HeaderCachedTokens, strconv.Itoa(cachedTokens))
	header.Set(enginewire.HeaderPromptTokens, strconv.Itoa(prefix.Tokens(len(asked.prompt))))
	header.Set(enginewire.HeaderQueuedTokens, strconv.Itoa(load.QueuedTokens))
	header.Set(enginewire.HeaderRunning, strconv.Itoa(load.Running))
	header.Set(enginewire.HeaderWaiting, strconv.Itoa(load.Waiting))
	header.Set(enginewire.HeaderFreeBlocks, strconv.Itoa(load.FreeBlocks))
}

// anonymousID names a request that came without an identity.
func anonymousID() identity.RequestID {
	return identity.RequestID("anonymous-" + strconv.FormatInt(time.Now().UnixNano(), 36))
}
