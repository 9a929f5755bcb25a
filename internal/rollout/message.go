package rollout

import (
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// reportMessage tells a collector the state of a daemon's requests of a service while an order is active. It is
// sent periodically, so that a lost one does no harm.
type reportMessage struct {
	Service     identity.ServiceName
	Order       uint64
	Incarnation identity.Incarnation
	// Number increases with each report of the incarnation.
	Number uint64
	// Row is the row of the standing by which the daemon selects versions, and UnderWay the number of its
	// requests in progress at back ends of other versions than the target, counted after Row was read.
	Row      uint64
	UnderWay int
	// Reads is set by the daemon that reads the store on behalf of all.
	Reads   bool
	Stopped bool
	Reason  string
	// Routes are cumulative counts since the daemon started, for some of the routes and some of their back ends.
	// What was reported earlier on the rest still holds, as does an earlier Sample if this one is empty.
	Routes []rollout.RouteEvidence
	// Sample counts the answers of a sample of the stable version's back ends.
	Sample []rollout.BackendCounts
}

// grantMessage answers a reportMessage.
type grantMessage struct {
	Service identity.ServiceName
	Order   uint64
	// Number is the number of the report.
	Number uint64
	// Granted allows requests to the version under trial for grantTime.
	Granted bool
	Stopped bool
	Reason  string
	// Standing is set if the collector knows a newer one than the report names.
	Standing *rollout.Standing
}

// stopMessage announces that an order's target is bad, and why.
type stopMessage struct {
	Service identity.ServiceName
	Order   uint64
	Reason  string
}

// standingMessage announces a standing that was written.
type standingMessage struct{ Standing rollout.Standing }
