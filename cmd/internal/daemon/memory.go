package daemon

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/pause"
)

const (
	// heldShare of the machine's memory is the most that is held for callers. The heap may be twice what is in use, and
	// the daemon needs the rest for what it knows.
	heldShare = 0.25
	// tenantShare of that is the most for one tenant, exchangeShare for one request with its answer.
	tenantShare   = 0.5
	exchangeShare = 0.25
	// collectedShare of the machine's memory is from where on the heap is collected as often as it takes.
	collectedShare = 0.7
	// ledgerCheckInterval is how often it is looked for callers that read slowly.
	ledgerCheckInterval = 250 * time.Millisecond
	// evictionLineRate is how many ended callers a second are logged; all are counted.
	evictionLineRate = 20
	bytesPerMegabyte = 1 << 20
)

// heldLimits are the bounds of what is held for callers on a machine with a memory. Without a known memory there are
// none.
func heldLimits(megabytes int) buffers.Limits {
	total := heldShare * float64(megabytes) * bytesPerMegabyte
	return buffers.Limits{Total: int64(total), PerTenant: int64(tenantShare * total), PerExchange: int64(exchangeShare * total)}
}

// limitHeap has the heap collected more often as it gets near a machine's memory.
func limitHeap(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(collectedShare * float64(megabytes) * bytesPerMegabyte))
	}
}

// wireLedger makes what accounts for the memory that is held for callers.
func (w *Daemon) wireLedger(registry *prometheus.Registry) {
	limitHeap(w.settings.Limits.MemoryMb)
	evictions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "lotusward", Name: "slow_callers_ended_total",
		Help: "Callers' requests and connections that were ended for reading or sending slowly, by the bound that was reached (daemon, tenant, expired).",
	}, []string{"bound"})
	log, lines := w.part("memory"), rate.NewLimiter(evictionLineRate, evictionLineRate)
	w.ledger = buffers.NewTracker(heldLimits(w.settings.Limits.MemoryMb), func(ended buffers.Eviction) {
		evictions.WithLabelValues(string(ended.Scope)).Inc()
		if lines.Allow() {
			log.WithFields(logrus.Fields{
				"bound": ended.Scope, "tenant": ended.Tenant, "held_bytes": ended.Held, "moved_bytes": ended.Moved, "waited_ms": ended.Waited.Milliseconds(),
			}).Warn("A slow caller is ended.")
		}
	})
	gauge := func(name, help string, value func(buffers.Usage) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "lotusward", Name: name, Help: help}, func() float64 { return value(w.ledger.Usage()) })
	}
	registry.MustRegister(evictions,
		gauge("held_bytes", "Bytes that are held for callers: bodies, answers that wait to be read, connections.", func(usage buffers.Usage) float64 { return float64(usage.Held) }),
		gauge("held_bytes_limit", "The most bytes that are held for callers.", func(usage buffers.Usage) float64 { return float64(usage.Limit) }),
		gauge("waiting_callers", "Requests and connections whose callers keep the daemon waiting, idle connections among them.", func(usage buffers.Usage) float64 { return float64(usage.Waiting) }),
	)
}

// checkLedger looks for callers that read slowly until the context ends.
func (w *Daemon) checkLedger(ctx context.Context) error {
	pause.Every(ctx, ledgerCheckInterval, func(time.Time) { w.ledger.Check(clock.Now()) })
	return nil
}
