// Package identity holds the names and numbers by which the parts of a
// deployment refer to each other. It has no behaviour and imports nothing of
// this module, so that every other package can use it.
package identity

// DaemonID names one daemon. It is unique among all daemons and stays the same
// across restarts of the same machine.
type DaemonID string

// Zone names a failure domain inside a region.
type Zone string

// Region names a group of zones that are near each other: zones of different regions are tens
// of milliseconds apart.
type Region string

// ServiceName names a group of back ends that serve the same work.
type ServiceName string

// TenantName names a tenant.
type TenantName string

// ModelName names a model as callers write it.
type ModelName string

// WeightsVersion names one version of a model's weights.
type WeightsVersion string

// SoftwareVersion names a version of a service's software, which all back ends of one release
// have in common. It says nothing of the weights that they hold.
type SoftwareVersion string

// AdapterName names an adapter (LoRA) of a model.
type AdapterName string

// RequestID names one request of a caller for its whole life, over all attempts.
type RequestID string

// Incarnation tells the lives of a process apart. That of a back end is its start time in
// milliseconds since the Unix epoch, by its machine's clock, which may step: only equality tells
// something. Zero is not known.
type Incarnation uint64

// Revision counts accepted configuration changes. It only ever grows.
type Revision uint64

// FencingToken grows with every grant of a lease. Receivers refuse an effect
// that carries a token older than the newest they have seen.
type FencingToken uint64

// BackendKind tells a model engine from a web-app runner.
type BackendKind string

// The kinds of back end.
const (
	KindEngine BackendKind = "engine"
	KindApp    BackendKind = "app"
)

// RunState says what is known about whether a request ran on a back end.
type RunState string

// The run states that a refusal or a failure can report.
const (
	// RunStateNotRun means that no back end ran any part of the request.
	RunStateNotRun RunState = "not_run"
	// RunStateUnknown means that a back end may have run the request.
	RunStateUnknown RunState = "unknown"
	// RunStateRan means that a back end ran the request.
	RunStateRan RunState = "ran"
)

// PriorityClass orders requests that wait for the same back ends. A lower value
// goes first.
type PriorityClass int

// The priority classes.
const (
	// ClassInteractive is for short work that a person waits for: pages and
	// small tagging requests.
	ClassInteractive PriorityClass = iota
	// ClassStandard is for ordinary model requests.
	ClassStandard
	// ClassBatch is for work that nobody waits for.
	ClassBatch
)

// PriorityClassCount is the number of priority classes.
const PriorityClassCount = 3

// String gives the name that callers write for the class.
func (c PriorityClass) String() string {
	switch c {
	case ClassInteractive:
		return "interactive"
	case ClassStandard:
		return "standard"
	case ClassBatch:
		return "batch"
	default:
		return "invalid"
	}
}

// ParsePriorityClass reads a class name. The second result is false for a name
// that is no class.
func ParsePriorityClass(name string) (PriorityClass, bool) {
	for class := ClassInteractive; class <= ClassBatch; class++ {
		if class.String() == name {
			return class, true
		}
	}
	return 0, false
}
