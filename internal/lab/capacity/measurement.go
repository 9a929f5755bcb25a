package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
	"github.com/lotusward/lotusward/internal/lab/machine"
)

// measurement collects the slopes of a run.
type measurement struct {
	sizes        projection.Sizes
	watch        stopwatch
	hollowLength time.Duration
	// binaries is the directory of the programs, and idleLength is for how long
	// idle daemons are measured.
	binaries   string
	idleLength time.Duration
	slopes     projection.Slopes
	remarks    []string
	failure    error
}

// growing are the sizes at which a slope is measured: a tenth, a half and all.
func (m *measurement) growing(size int) []int { return []int{size / 10, size / 2, size} }

// note keeps the first failure.
func (m *measurement) note(err error) {
	if err != nil && m.failure == nil {
		m.failure = err
	}
}

func (m *measurement) remark(format string, arguments ...any) {
	m.remarks = append(m.remarks, fmt.Sprintf(format, arguments...))
}

// part is a named part of the measurement.
type part struct {
	name string
	run  func()
}

func (m *measurement) parts() []part {
	return []part{
		{"idle daemons", m.measureIdle},
		{"calls", m.measureCalls},
		{"backends", m.measureBackends},
		{"configuration", m.measureConfiguration},
		{"limits", m.measureLimits},
		{"placement", m.measurePlacement},
		{"claims", m.measureClaims},
		{"controller", m.measureController},
		{"membership", m.measureMembership},
		{"sightings", m.measureSightings},
	}
}

// Machine tells where a run was made.
type Machine struct {
	Cores       int    `json:"cores"`
	Workers     int    `json:"workers"`
	GoVersion   string `json:"go_version"`
	LoadAverage string `json:"load_average"`
}

func thisMachine() Machine {
	return Machine{
		Cores: runtime.NumCPU(), Workers: runtime.GOMAXPROCS(0), GoVersion: runtime.Version(),
		LoadAverage: machine.LoadAverage(),
	}
}

// Result is a whole run.
type Result struct {
	Machine  Machine           `json:"machine"`
	Began    time.Time         `json:"began"`
	Duration time.Duration     `json:"duration"`
	LoadEnd  string            `json:"load_average_at_end"`
	Remarks  []string          `json:"remarks,omitempty"`
	Slopes   projection.Slopes `json:"slopes"`
	Report   projection.Report `json:"report"`
}

// measure runs all parts and projects the result.
func (m *measurement) measure(progress func(name string, took time.Duration)) (Result, error) {
	result := Result{Machine: thisMachine(), Began: time.Now()}
	for _, part := range m.parts() {
		began := time.Now()
		part.run()
		if m.failure != nil {
			return Result{}, fmt.Errorf("capacity: %s: %w", part.name, m.failure)
		}
		progress(part.name, time.Since(began))
	}
	result.Duration = time.Since(result.Began)
	result.LoadEnd = machine.LoadAverage()
	result.Remarks = m.remarks
	result.Slopes = m.slopes
	result.Report = projection.Project(m.sizes, projection.TargetBudget(), m.slopes)
	return result, nil
}
