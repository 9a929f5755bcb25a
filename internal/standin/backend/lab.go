package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Paths of the control of faults and of the record of runs.
const (
	// PathFaults takes POST with Faults in JSON, which replace those before, and
	// answers GET with those in force.
	PathFaults = "/lab/v1/faults"
	// PathCrash takes POST with a CrashRequest in JSON.
	PathCrash = "/lab/v1/crash"
	// PathRuns answers GET with a RunList in JSON.
	PathRuns = "/lab/v1/runs"
)

// runsKept is how many runs the record holds; older ones are forgotten.
const runsKept = 200_000

// Faults are what goes wrong on purpose. The zero value is a back end without
// faults. Times are in milliseconds.
type Faults struct {
	// Refuse refuses all new work, not run.
	Refuse bool `json:"refuse,omitempty"`
	// Hang holds new requests without an answer until it is off.
	Hang bool `json:"hang,omitempty"`
	// CutStreams is how many of the next answers lose their connection; -1 means all.
	CutStreams int `json:"cut_streams,omitempty"`
	// CutAfterTokens is how many tokens a cut stream gives first.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// TokenDelayMilliseconds delays each token; a runner's whole answer.
	TokenDelayMilliseconds float64 `json:"token_delay_milliseconds,omitempty"`
	// EventGapProbability is the share of cache event batches that are lost.
	EventGapProbability float64 `json:"event_gap_probability,omitempty"`
	// EventLatenessMilliseconds is added to the lateness of cache events.
	EventLatenessMilliseconds float64 `json:"event_lateness_milliseconds,omitempty"`
	// LoadLagMilliseconds is added to the lag of load reports.
	LoadLagMilliseconds float64 `json:"load_lag_milliseconds,omitempty"`
}

// Milliseconds turns a number of milliseconds into a duration.
func Milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

// CrashRequest asks for a crash.
type CrashRequest struct {
	// DownMilliseconds is how long the back end stays away.
	DownMilliseconds float64 `json:"down_milliseconds"`
}

// Run is one attempt that began to run. What was refused or cancelled while it
// waited is not in the record.
type Run struct {
	RequestID      identity.RequestID   `json:"request_id"`
	Attempt        int                  `json:"attempt"`
	Incarnation    identity.Incarnation `json:"incarnation"`
	Path           string               `json:"path"`
	IdempotencyKey string               `json:"idempotency_key,omitempty"`
	// FromOffset is the first token's offset; more than zero when resumed.
	FromOffset int `json:"from_offset,omitempty"`
	// CachedTokens and ContextTokens are of the engine's prefill.
	CachedTokens  int `json:"cached_tokens,omitempty"`
	ContextTokens int `json:"context_tokens,omitempty"`
	// Tokens is how many tokens were given.
	Tokens int `json:"tokens,omitempty"`
	// Finished is set when the run came to its end.
	Finished bool `json:"finished"`
}

// RunList is the answer on PathRuns, oldest first. It survives crashes: it is
// the test's record, not the back end's.
type RunList struct {
	Runs []Run `json:"runs"`
}

// runRecord keeps the newest runs.
type runRecord struct {
	mutex sync.Mutex
	runs  []*Run
}

// RecordRun notes that an attempt began to run.
func (s *Server) RecordRun(run Run) *Run {
	s.runs.mutex.Lock()
	defer s.runs.mutex.Unlock()
	if len(s.runs.runs) == runsKept {
		s.runs.runs = append([]*Run(nil), s.runs.runs[runsKept/2:]...)
	}
	recorded := &run
	s.runs.runs = append(s.runs.runs, recorded)
	return recorded
}

// UpdateRun changes a recorded run.
func (s *Server) UpdateRun(run *Run, change func(*Run)) {
	s.runs.mutex.Lock()
	defer s.runs.mutex.Unlock()
	change(run)
}

// Runs returns a copy of the record, oldest first.
func (s *Server) Runs() []Run {
	s.runs.mutex.Lock()
	defer s.runs.mutex.Unlock()
	copied := make([]Run, len(s.runs.runs))
	for index, run := range s.runs.runs {
		copied[index] = *run
	}
	return copied
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// TakeCut tells whether this answer has to lose its connection, and after how
// many tokens.
func (s *Server) TakeCut() (int, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.CutStreams == 0 {
		return 0, false
	}
	if s.faults.CutStreams > 0 {
		s.faults.CutStreams--
	}
	return s.faults.CutAfterTokens, true
}

// withLab adds the control paths in front of a life.
func (s *Server) withLab(life http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", life)
	mux.HandleFunc("GET "+PathFaults, func(writer http.ResponseWriter, _ *http.Request) {
		WriteJSON(writer, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("POST "+PathFaults, func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if decodeLab(writer, request, &faults) {
			s.SetFaults(faults)
			writer.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST "+PathCrash, func(writer http.ResponseWriter, request *http.Request) {
		var requested CrashRequest
		if decodeLab(writer, request, &requested) {
			writer.WriteHeader(http.StatusNoContent)
			go s.Crash(Milliseconds(requested.DownMilliseconds))
		}
	})
	mux.HandleFunc("GET "+PathRuns, func(writer http.ResponseWriter, _ *http.Request) {
		WriteJSON(writer, http.StatusOK, RunList{Runs: s.Runs()})
	})
	return mux
}

// decodeLab reads a control body; it answers 400 and returns false on a bad one.
func decodeLab(writer http.ResponseWriter, request *http.Request, into any) bool {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
