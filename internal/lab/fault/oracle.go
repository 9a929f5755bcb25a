package fault

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/standin/backend"
)

// Violation is something that must never happen and did.
type Violation string

// span is a time in which a daemon could not keep its word to a connection,
// since it was killed or paused.
type span struct{ from, to time.Time }

// sentRequest is one request of the workload with what came of it.
type sentRequest struct {
	daemon   int
	began    time.Time
	ended    time.Time
	expected string
	answer   load.Answer
	// page is set for web-app work; key is its idempotency key, or empty.
	page bool
	key  string
}

// oracle collects what callers saw and compares it with what back ends ran.
type oracle struct {
	mutex      sync.Mutex
	requests   []sentRequest
	runs       []backend.Run
	spans      map[int][]span
	violations []Violation
	faults     map[Kind]int
	// apart and tableDown are when the daemons were cut from each other, and when
	// the table service did not answer.
	apart, tableDown []span
}

func newOracle() *oracle {
	return &oracle{spans: make(map[int][]span), faults: make(map[Kind]int)}
}

func (o *oracle) violate(format string, arguments ...any) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.violations = append(o.violations, Violation(fmt.Sprintf(format, arguments...)))
}

func (o *oracle) countFault(kind Kind) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.faults[kind]++
}

// excuse notes that a daemon was killed or paused for a time.
func (o *oracle) excuse(daemon int, from, to time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.spans[daemon] = append(o.spans[daemon], span{from: from, to: to})
}

func (o *oracle) add(request sentRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.requests = append(o.requests, request)
}

// judge checks all requests against the record of what ran.
func (o *oracle) judge() {
	byRequest := make(map[identity.RequestID]int)
	byKey := make(map[string]int)
	for _, run := range o.runs {
		byRequest[run.RequestID]++
		if run.IdempotencyKey != "" {
			byKey[run.IdempotencyKey]++
		}
	}
	for index := range o.requests {
		o.judgeAnswer(&o.requests[index])
		o.judgeRunState(&o.requests[index], byRequest)
	}
	for key, count := range byKey {
		if count > 1 {
			o.violate("key %s ran %d times", key, count)
		}
	}
}

// judgeAnswer checks text and completeness.
func (o *oracle) judgeAnswer(request *sentRequest) {
	answer := &request.answer
	switch {
	case answer.Whole && answer.Text != request.expected:
		o.violate("request %s: a whole answer differs from what was asked", answer.RequestID)
	case !request.page && !strings.HasPrefix(request.expected, answer.Text):
		o.violate("request %s: the answer's text is not a prefix of what was asked", answer.RequestID)
	case answer.Err != nil && answer.StatusCode != 0 && !o.excused(request):
		o.violate("request %s through daemon %d was cut without a word: %v", answer.RequestID, request.daemon+1, answer.Err)
	}
}

// judgeRunState checks that what was refused as not run did not run.
func (o *oracle) judgeRunState(request *sentRequest, byRequest map[identity.RequestID]int) {
	answer := &request.answer
	if answer.RunState == identity.RunStateNotRun && byRequest[answer.RequestID] > 0 {
		o.violate("request %s was refused as not run and ran %d times", answer.RequestID, byRequest[answer.RequestID])
	}
}

func (o *oracle) excused(request *sentRequest) bool {
	for _, excused := range o.spans[request.daemon] {
		if request.began.Before(excused.to) && excused.from.Before(request.ended) {
			return true
		}
	}
	return false
}

// Figures are the sums of a run.
type Figures struct {
	Requests, Whole, Refused, Broken, Unreached int
	Faults                                      map[Kind]int
	Violations                                  []Violation
	// BrokenUnexcused are those that ended with an error though their daemon was
	// neither killed nor paused.
	BrokenUnexcused []string
	// FirstTokenP50 and the others are of whole model answers.
	FirstTokenP50, FirstTokenP99 time.Duration
	PageP50, PageP99             time.Duration
	// Refusals counts them by status, run state and code.
	Refusals map[string]int
}

// figures sums the run up.
func (o *oracle) figures() Figures {
	sums := Figures{Requests: len(o.requests), Faults: o.faults, Violations: o.violations, Refusals: map[string]int{}}
	var tokens, pages []time.Duration
	for _, request := range o.requests {
		answer := request.answer
		switch {
		case answer.Whole && request.page:
			sums.Whole++
			pages = append(pages, answer.FirstAfter)
		case answer.Whole:
			sums.Whole++
			tokens = append(tokens, answer.FirstAfter)
		case answer.StatusCode == 0:
			sums.Unreached++
		case answer.FirstAfter > 0:
			sums.Broken++
			if !o.excused(&request) {
				sums.BrokenUnexcused = append(sums.BrokenUnexcused, brokenAnswer(request))
			}
		default:
			sums.Refused++
			sums.Refusals[fmt.Sprintf("%d %s %s", answer.StatusCode, answer.RunState, answer.Code)]++
		}
	}
	sums.FirstTokenP50, sums.FirstTokenP99 = quantiles(tokens)
	sums.PageP50, sums.PageP99 = quantiles(pages)
	return sums
}

func brokenAnswer(request sentRequest) string {
	answer := request.answer
	return fmt.Sprintf("request %s through daemon %d: %d of %d bytes after %s, then %s %s",
		answer.RequestID, request.daemon+1, len(answer.Text), len(request.expected),
		request.ended.Sub(request.began).Round(time.Millisecond), answer.RunState, answer.Code)
}

func quantiles(values []time.Duration) (median, tail time.Duration) {
	if len(values) == 0 {
		return 0, 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[len(values)/2], values[len(values)*99/100]
}
