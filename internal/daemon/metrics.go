package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// registerProcess registers the process's own figures: processor time, memory,
// open files and the Go runtime.
func (d *Daemon) registerProcess() {
	d.metrics.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	)
}

// registerGauges registers the metrics that read the daemon's published state.
func (d *Daemon) registerGauges() {
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"lotusward_configuration_revision", "Revision of the configuration in force on this daemon.", func() float64 {
			return float64(d.loop.View().Document.Revision)
		}},
		{"lotusward_configuration_isolated", "1 while the configuration cannot be confirmed as the newest.", func() float64 {
			// Not the view's word: that is whether requests are refused.
			return oneIf(d.configuration.Status().Isolated)
		}},
		{"lotusward_backends", "Back ends that this daemon sees as reachable.", func() float64 {
			return float64(len(d.loop.View().Backends))
		}},
		{"lotusward_members_live", "Other daemons that this daemon believes to be alive.", func() float64 {
			return float64(len(d.members.Members()))
		}},
		{"lotusward_callers_requests_active", "Requests of callers that are being served.", func() float64 {
			return float64(d.callers.Active())
		}},
	}
	for _, gauge := range gauges {
		d.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.read))
	}
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
