package relaycost

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// A whole answer of a paced engine gives one sample for each token, of times that
// cannot be negative; an answer that was cut gives none.
func TestAnswersAreMeasuredWholeOrNotAtAll(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clock{time.Now()}
	engine := newPacedEngine("engine-1", enginewire.LoadedModel{Model: modelName, Version: modelVersion}, time.Millisecond, clock)
	go engine.Run(ctx)
	server := httptest.NewServer(engine)
	defer server.Close()
	const tokens = 20
	asking := &caller{client: http.DefaultClient, clock: clock, prompt: "lap ", tokens: tokens}
	address := strings.TrimPrefix(server.URL, "http://")
	answer, err := asking.ask(ctx, path{}, address)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.tokenDelays), tokens-1)
	assert.Assert(t, answer.firstAdded >= 0)
	for _, delay := range answer.tokenDelays {
		assert.Assert(t, delay >= 0)
	}

	cut := eventHead + "17/11" + eventMiddle + "null" + eventTail
	reader := answerReader{clock: clock}
	_, err = reader.read(bufio.NewReader(strings.NewReader(cut)), 1)
	assert.ErrorIs(t, err, errCut)
	reader = answerReader{clock: clock}
	_, err = reader.read(bufio.NewReader(strings.NewReader(cut+"data: [DONE]\n\n")), 2)
	assert.ErrorContains(t, err, "1 tokens in place of 2")
}
