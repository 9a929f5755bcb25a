package callerhttp

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// The values of the work label.
const (
	workCompletion = "completion"
	workPage       = "page"
	workModels     = "models"
)

// The values of the outcome label.
const (
	outcomeComplete  = "complete"
	outcomeInvalid   = "invalid"
	outcomeRefused   = "refused"
	outcomeFailed    = "failed"
	outcomeCancelled = "cancelled"
)

// metrics are the Prometheus metrics of the callers' side.
type metrics struct {
	requests   *prometheus.CounterVec
	failures   *prometheus.CounterVec
	firstToken prometheus.Histogram
	firstByte  prometheus.Histogram
	tokens     prometheus.Counter
	retries    *prometheus.CounterVec
	resumes    prometheus.Counter
	active     prometheus.Gauge
}

// newMetrics makes the metrics and registers them, unless the registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	made := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lotusward_requests_total", Help: "Callers' requests by kind of work and outcome.",
		}, []string{"work", "outcome"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lotusward_request_failures_total", Help: "Failed and refused requests by code and run state.",
		}, []string{"code", "run_state"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lotusward_first_token_seconds", Help: "Time from a request's arrival to its first token.",
			Buckets: []float64{.01, .025, .05, .1, .2, .3, .37, .5, .75, 1, 2, 4, 8, 16, 32},
		}),
		firstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lotusward_page_seconds", Help: "Time from a page request's arrival to its answer.",
			Buckets: []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 4, 8},
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lotusward_relayed_tokens_total", Help: "Answer tokens relayed to callers.",
		}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lotusward_retries_total", Help: "Attempts after the first, by what was known of the attempt before.",
		}, []string{"evidence"}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lotusward_resumes_total", Help: "Answers resumed after some of their tokens.",
		}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lotusward_active_requests", Help: "Requests that hold a back end or wait for one.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(made.requests, made.failures, made.firstToken, made.firstByte,
			made.tokens, made.retries, made.resumes, made.active)
	}
	return made
}

// refused counts a request that was answered with a failure alone.
func (m *metrics) refused(work string, failed *failure) {
	outcome := outcomeFailed
	switch {
	case failed.Status < http.StatusInternalServerError && failed.Status != http.StatusTooManyRequests:
		outcome = outcomeInvalid
	case failed.RunState == identity.RunStateNotRun:
		outcome = outcomeRefused
	}
	m.requests.WithLabelValues(work, outcome).Inc()
	m.failed(failed)
}

// failed counts a failure by its code.
func (m *metrics) failed(failed *failure) {
	m.failures.WithLabelValues(failed.Code, string(failed.RunState)).Inc()
}
