package requestlog

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/relay"
	"github.com/lotusward/lotusward/internal/sharedlimit"
)

const namespace = "lotusward"

// Counters holds the metrics of request outcomes. Label cardinality is bounded: outcomes, reasons
// and results come from fixed sets, and there are no labels for tenants, keys or requests.
type Counters struct {
	requests        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	storeCalls      *prometheus.CounterVec
	tenantLimits    *prometheus.CounterVec
	backendLimits   *prometheus.CounterVec
	replacedWeights *prometheus.CounterVec
	notices         *prometheus.CounterVec
	resumed         prometheus.Counter
	unloggedTotal   prometheus.Counter
	firstByte       prometheus.Histogram
	elapsed         prometheus.Histogram
}

// NewCounters creates the metrics and registers them.
func NewCounters(registerer prometheus.Registerer) *Counters {
	counters := &Counters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by outcome and reason.",
		}, []string{"outcome", "reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "repeats_total", Help: "Second sendings by the reason for them.",
		}, []string{"reason"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls of the metadata store by result.",
		}, []string{"call", "result"}),
		tenantLimits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "limit_decisions_total", Help: "Requests of tenants with a limit, by who decided (grantor, own_part) and the outcome.",
		}, []string{"by", "outcome"}),
		backendLimits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "backend_limit_decisions_total", Help: "Parts of back ends' limits that were asked for, by who decided (grantor, own_part) and the outcome.",
		}, []string{"by", "outcome"}),
		replacedWeights: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "replaced_weights_total",
			Help: "Sendings to back ends whose weights were replaced, by what bounds their begin (named, guessed, disturbed) and whether they began (in_time, late, not_begun).",
		}, []string{"bound", "begun"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "backend_notices_total",
			Help: "Answers in which a back end said that it drains (draining), asked for no requests for a time (retry_after), or changed (limit) or ended (limit_ended) a limit of requests.",
		}, []string{"notice"}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "streams_resumed_total", Help: "Streams that went on at another back end.",
		}),
		unloggedTotal: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "decisions_unlogged_total", Help: "Decisions that were counted and not logged.",
		}),
		firstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_byte_seconds", Help: "Time from a request's arrival to its answer's first byte.", Buckets: latencyBuckets,
		}),
		elapsed: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencyBuckets,
		}),
	}
	registerer.MustRegister(counters.requests, counters.retries, counters.storeCalls, counters.tenantLimits, counters.backendLimits, counters.replacedWeights, counters.notices, counters.resumed,
		counters.unloggedTotal, counters.firstByte, counters.elapsed)
	return counters
}

// StoreCall counts a call of the metadata store.
func (c *Counters) StoreCall(call, result string) {
	c.storeCalls.WithLabelValues(call, result).Inc()
}

func (c *Counters) refused(refusal relay.Refusal) {
	c.requests.WithLabelValues(string(refusal.Kind), refusal.Reason).Inc()
}

// countTenantLimit counts the decision on a tenant's limit, if there was one.
func (c *Counters) countTenantLimit(completion *relay.Completion) {
	if completion == nil || completion.Grant == nil {
		return
	}
	countGrant(c.tenantLimits, *completion.Grant)
}

// BackendLimit counts the decision on a share of a backend's limit.
func (c *Counters) BackendLimit(grant sharedlimit.Grant) { countGrant(c.backendLimits, grant) }

func countGrant(counter *prometheus.CounterVec, grant sharedlimit.Grant) {
	by, outcome := "grantor", "granted"
	if grant.LocalShare {
		by = "own_part"
	}
	if !grant.Granted {
		outcome = "over_limit"
	}
	counter.WithLabelValues(by, outcome).Inc()
}

func (c *Counters) served(completion *relay.Completion) {
	outcome := "served"
	if completion.Cut != "" {
		outcome = "cut"
	}
	c.requests.WithLabelValues(outcome, completion.Cut).Inc()
	c.resumed.Add(float64(completion.Resumed))
	c.firstByte.Observe(seconds(completion.FirstByte))
	c.elapsed.Observe(seconds(completion.Elapsed))
}

// countReplacedWeights counts an attempt at a backend whose weights were replaced; nil is ignored.
func (c *Counters) countReplacedWeights(replaced *relay.ReplacedWeights) {
	if replaced == nil {
		return
	}
	begun := "in_time"
	switch {
	case !replaced.Begun:
		begun = "not_begun"
	case replaced.BegunLate():
		begun = "late"
	}
	c.replacedWeights.WithLabelValues(string(replaced.Bound.Basis), begun).Inc()
}

// noticed counts the announcements of a backend about itself.
func (c *Counters) noticed(notice backendpool.Notice) {
	if notice.Draining {
		c.notices.WithLabelValues("draining").Inc()
	}
	if notice.RetryAfter > 0 {
		c.notices.WithLabelValues("retry_after").Inc()
	}
	switch notice.Limit.Kind {
	case backendpool.LimitNamed:
		c.notices.WithLabelValues("limit").Inc()
	case backendpool.LimitNone:
		c.notices.WithLabelValues("limit_ended").Inc()
	}
}

func (c *Counters) retried(attempt relay.Attempt) { c.retries.WithLabelValues(attempt.Reason).Inc() }

func (c *Counters) unlogged() { c.unloggedTotal.Inc() }
