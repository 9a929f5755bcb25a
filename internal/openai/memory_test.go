package openai

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/relay"
)

// noControl knows nothing yet.
type noControl struct{}

func (noControl) State() *relay.State    { return nil }
func (noControl) ConfirmedAt() time.Time { return time.Time{} }
func (noControl) SteadySince() time.Time { return time.Time{} }

// refusals is a journal that keeps what was refused.
type refusals struct {
	relay.Observer
	requests []identity.RequestID
	reasons  []string
}

func (r *refusals) Refused(request *relay.Request, _ *relay.Completion, refusal relay.Refusal) {
	r.requests, r.reasons = append(r.requests, request.ID), append(r.reasons, refusal.Reason)
}

// TestBodiesWithoutRoomAreRefusedAndNoted sends a body to a daemon that may hold none: the caller is told when to come
// back, and the journal why.
func TestBodiesWithoutRoomAreRefusedAndNoted(t *testing.T) {
	journal := &refusals{}
	handler := New(Options{
		Relay:       relay.New(relay.Options{Control: noControl{}, Pool: backendpool.New("a"), Observer: journal}),
		Control:     noControl{},
		MaximumBody: func() int64 { return 1 << 20 },
		Stopping:    func() bool { return false },
		Ledger:      buffers.NewTracker(buffers.Limits{Total: 1}, nil),
	})
	request := httptest.NewRequest(http.MethodPost, PathCompletions, strings.NewReader(`{"model":"m","prompt":"p"}`))
	request.Header.Set("Content-Type", "application/json")
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, request)

	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, answer.Header().Get("Retry-After"), "2")
	assert.DeepEqual(t, journal.reasons, []string{"no_memory"})
	assert.DeepEqual(t, journal.requests, []identity.RequestID{identity.RequestID(answer.Header().Get(headerRequestID))})
}
