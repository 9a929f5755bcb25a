package rollout

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/relay"
)

const (
	namespace = "lotusward"
	subsystem = "software"
)

// stages lists all stages, for the gauge that is 1 for one of them.
var stages = []rollout.Stage{
	rollout.StageNone, rollout.StageTrial, rollout.StageShift, rollout.StageCompleted, rollout.StageRolledBack,
}

// metrics are labeled by service and version, both of which have few values.
type metrics struct {
	answers *prometheus.CounterVec
	share   *prometheus.GaugeVec
	stage   *prometheus.GaugeVec
}

// newMetrics makes the metrics, and registers them if there is a registerer.
func newMetrics(registerer prometheus.Registerer) *metrics {
	made := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "answers_total",
			Help: "Answers of back ends while an order is under way, by version and result (good, bad, slow).",
		}, []string{"service", "version", "result"}),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "target_share",
			Help: "Share (0 to 1) of this daemon's sendings of the last seconds that went to the ordered version.",
		}, []string{"service"}),
		stage: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "stage",
			Help: "1 for the stage by which this daemon sends requests, 0 for the others.",
		}, []string{"service", "stage"}),
	}
	if registerer != nil {
		registerer.MustRegister(made.answers, made.share, made.stage)
	}
	return made
}

func (m *metrics) noteAnswer(choice relay.VersionChoice, result rollout.Result) {
	m.answers.WithLabelValues(string(choice.Service), string(choice.Version), resultName(result)).Inc()
}

func (m *metrics) noteShare(service identity.ServiceName, share float64) {
	m.share.WithLabelValues(string(service)).Set(share)
}

func (m *metrics) noteStage(service identity.ServiceName, standing rollout.Standing) {
	for _, stage := range stages {
		value := 0.0
		if stage == standing.Stage {
			value = 1
		}
		m.stage.WithLabelValues(string(service), stageName(stage)).Set(value)
	}
}

func stageName(stage rollout.Stage) string {
	if stage == rollout.StageNone {
		return "none"
	}
	return string(stage)
}

func resultName(result rollout.Result) string {
	switch result {
	case rollout.ResultBad:
		return "bad"
	case rollout.ResultSlow:
		return "slow"
	default:
		return "good"
	}
}
