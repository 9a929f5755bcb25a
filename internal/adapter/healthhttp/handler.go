// Package healthhttp serves /healthz, /readyz and /metrics.
package healthhttp

import (
	"io"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Readiness tells whether the daemon can serve callers.
type Readiness interface {
	// NotReady lists why the daemon can't serve callers now; empty means ready.
	NotReady() []string
}

// ReadinessFunc is a function that implements Readiness.
type ReadinessFunc func() []string

// NotReady implements Readiness.
func (f ReadinessFunc) NotReady() []string { return f() }

// New makes the handler. /healthz answers 200 as long as the process serves
// HTTP at all. /readyz answers 200, or 503 with one reason a line.
func New(readiness Readiness, gatherer prometheus.Gatherer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writeText(writer, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		reasons := readiness.NotReady()
		if len(reasons) == 0 {
			writeText(writer, http.StatusOK, "ready")
			return
		}
		writeText(writer, http.StatusServiceUnavailable, "not ready\n"+strings.Join(reasons, "\n"))
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	return mux
}

func writeText(writer http.ResponseWriter, status int, text string) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, text+"\n") // the caller may be gone
}
