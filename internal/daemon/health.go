package daemon

import (
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// healthHandler serves liveness, readiness and metrics.
func (d *Daemon) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(writer, "ok")
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		reasons := d.NotReady()
		if len(reasons) > 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		for _, reason := range reasons {
			fmt.Fprintln(writer, reason)
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.metrics, promhttp.HandlerOpts{}))
	return mux
}

// NotReady lists why the daemon should get no callers; it is empty when it
// should.
func (d *Daemon) NotReady() []string {
	var reasons []string
	if d.stopping.Load() {
		reasons = append(reasons, "the daemon is stopping")
	}
	current := d.loop.View()
	if current.Document.Revision == 0 {
		reasons = append(reasons, "no configuration is loaded")
	}
	if current.Isolated {
		reasons = append(reasons, "the configuration cannot be confirmed as the newest")
	}
	return reasons
}
