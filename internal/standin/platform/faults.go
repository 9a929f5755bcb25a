package platform

import "time"

// ServiceName names one of the platform's services.
type ServiceName string

// The platform's services.
const (
	ServiceTable    ServiceName = "table"
	ServiceObjects  ServiceName = "objects"
	ServiceWeights  ServiceName = "weights"
	ServiceMachines ServiceName = "machines"
)

// OutageKind says how a service that is down behaves.
type OutageKind string

// The kinds of outage.
const (
	// OutageNone means that the service works.
	OutageNone OutageKind = ""
	// OutageRefuse answers 503 without any effect.
	OutageRefuse OutageKind = "refuse"
	// OutageHang takes the request and never answers it.
	OutageHang OutageKind = "hang"
)

// ServiceFaults are the limits and faults of one service. The zero value is a
// service without limits or faults.
type ServiceFaults struct {
	// RequestsPerSecond limits the calls; zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is how many calls may come at once; zero counts as 1.
	Burst int `json:"burst"`
	// LatencyMilliseconds is waited before a call takes effect.
	LatencyMilliseconds float64 `json:"latency_milliseconds"`
	// AnswerLatencyMilliseconds is waited after a call took effect.
	AnswerLatencyMilliseconds float64 `json:"answer_latency_milliseconds"`
	// Outage takes the service down.
	Outage OutageKind `json:"outage"`
	// LoseAnswerEvery drops the connection in place of the answer of every n-th
	// write, which still takes effect; zero means never.
	LoseAnswerEvery int `json:"lose_answer_every"`
}

// Faults are all settings that can change while the stand-in runs. A posted body
// changes the fields that it has and leaves the others as they are.
type Faults struct {
	Table    ServiceFaults `json:"table"`
	Objects  ServiceFaults `json:"objects"`
	Weights  ServiceFaults `json:"weights"`
	Machines ServiceFaults `json:"machines"`
	// MachineLagMilliseconds is how long a change of the machine list stays unseen.
	MachineLagMilliseconds float64 `json:"machine_lag_milliseconds"`
	// MachinesFrozen keeps the machine list as it was last seen.
	MachinesFrozen bool `json:"machines_frozen"`
	// WeightMilliseconds is how long one fetch of weights takes.
	WeightMilliseconds float64 `json:"weight_milliseconds"`
	// WeightConcurrency is how many fetches run at full speed; with more, each
	// takes longer in proportion. Zero means no limit.
	WeightConcurrency int `json:"weight_concurrency"`
}

// of returns the faults of one service.
func (f *Faults) of(service ServiceName) ServiceFaults {
	switch service {
	case ServiceTable:
		return f.Table
	case ServiceObjects:
		return f.Objects
	case ServiceWeights:
		return f.Weights
	default:
		return f.Machines
	}
}

// Statistics counts the calls of one service since the start.
type Statistics struct {
	Calls       int `json:"calls"`
	RateLimited int `json:"rate_limited"`
	// Unavailable counts calls that met an outage.
	Unavailable int `json:"unavailable"`
	// LostAnswers counts writes that took effect without an answer.
	LostAnswers int `json:"lost_answers"`
}

// milliseconds converts a setting to a duration.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
