package daemon

import (
	"net"
	"net/http"
	"strconv"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/eventlog"
	"github.com/lotusward/lotusward/internal/version"
	"github.com/lotusward/lotusward/platform"
)

const metricsPath = "/metrics"

// metrics serves counters and histograms on a port of its own.
type metrics struct {
	address string
	server  *http.Server
}

// newMetrics returns nil without a port.
func newMetrics(settings platform.Settings, port int, registry *prometheus.Registry) *metrics {
	if port == 0 {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true}))
	return &metrics{
		address: net.JoinHostPort(settings.IP, strconv.Itoa(port)),
		server:  &http.Server{Handler: mux, ReadHeaderTimeout: readyReadDeadline},
	}
}

// addTo adds the listener to a group.
func (m *metrics) addTo(group *run.Group) {
	if m == nil {
		return
	}
	group.Add(func() error { return listenAndServe(m.server, m.address, nil) }, func(error) { _ = m.server.Close() })
}

// registerState adds the figures that are read when they are asked for.
func registerState(registry *prometheus.Registry, writer *eventlog.Writer) {
	build := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "lotusward", Name: "build_info", Help: "Always 1; its label tells which build the daemon is.",
		ConstLabels: prometheus.Labels{"version": version.String()},
	})
	build.Set(1)
	registry.MustRegister(
		build,
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "lotusward", Name: "suspended_seconds_total", Help: "Time in which the machine was suspended, since the start.",
		}, func() float64 { return clock.Suspended().Seconds() }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "lotusward", Name: "log_lines_written_total", Help: "Log lines that were written.",
		}, func() float64 { return float64(writer.Written()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "lotusward", Name: "log_lines_dropped_total", Help: "Log lines that were dropped since the reader was slow.",
		}, func() float64 { return float64(writer.Dropped()) }),
	)
}

// registerMalformed adds how many findings there are on the rows of each table.
func registerMalformed(registry *prometheus.Registry, findings func() map[string]int) {
	for table := range findings() {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "lotusward", Name: "malformed_rows", Help: "Findings on rows of the store that this daemon could not read, as of its last reading.",
			ConstLabels: prometheus.Labels{"table": table},
		}, func() float64 { return float64(findings()[table]) }))
	}
}
