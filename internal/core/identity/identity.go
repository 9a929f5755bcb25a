// Package identity defines the names and numbers by which the parts of a deployment refer to each
// other. It imports nothing of this module, so that every other package can use it.
package identity

// DaemonID identifies one daemon. It is unique among all daemons and stays the same across
// restarts on the same machine.
type DaemonID string

// Zone names a failure domain inside a region.
type Zone string

// Region names a group of nearby zones. Zones of different regions are tens of milliseconds apart.
type Region string

// ServiceName names a group of interchangeable backends.
type ServiceName string

// TenantName is the configured name of a tenant.
type TenantName string

// ModelName names a model as in callers' requests.
type ModelName string

// WeightsVersion identifies a version of a model's weights.
type WeightsVersion string

// SoftwareVersion identifies a version of a service's software, shared by all backends of one
// release. It is independent of the weights that they have loaded.
type SoftwareVersion string

// AdapterName names a LoRA adapter of a model.
type AdapterName string

// RequestID identifies a caller's request over all attempts.
type RequestID string

// Incarnation distinguishes restarts of a process. That of a backend is its start time in
// milliseconds since the Unix epoch, by its machine's clock. Because that clock may step, only
// equality is meaningful. Zero is unknown.
type Incarnation uint64

// Revision counts accepted configuration changes. It never decreases.
type Revision uint64

// FencingToken increases with every grant of a lease. Receivers reject an effect that carries a
// token older than the newest they have seen.
type FencingToken uint64

// BackendKind distinguishes model engines from web-app runners.
type BackendKind string

// The kinds of backend.
const (
	KindEngine BackendKind = "engine"
	KindApp    BackendKind = "app"
)

// RunState says what is known about whether a request was executed by a backend.
type RunState string

// The run states that a rejection or a failure can report.
const (
	// RunStateNotRun means that no backend executed any part of the request.
	RunStateNotRun RunState = "not_run"
	// RunStateUnknown means that a backend may have executed the request.
	RunStateUnknown RunState = "unknown"
	// RunStateRan means that a backend executed the request.
	RunStateRan RunState = "ran"
)

// PriorityClass orders requests that wait for the same backends. Lower values go first.
type PriorityClass int

// The priority classes.
const (
	// ClassInteractive is for short work that a person waits for: pages and small tagging requests.
	ClassInteractive PriorityClass = iota
	// ClassStandard is for ordinary model requests.
	ClassStandard
	// ClassBatch is for background work that nobody waits for.
	ClassBatch
)

// PriorityClassCount is the number of priority classes.
const PriorityClassCount = 3

// String returns the class name as used by callers.
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

// ParsePriorityClass parses a class name. It returns false for an unknown name.
func ParsePriorityClass(name string) (PriorityClass, bool) {
	for class := ClassInteractive; class <= ClassBatch; class++ {
		if class.String() == name {
			return class, true
		}
	}
	return 0, false
}
