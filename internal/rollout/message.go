package rollout

import (
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// reportMessage tells a collector what a daemon does with a service while an order is under
// way. It is repeated; a lost one costs nothing.
type reportMessage struct {
	Service     identity.ServiceName
	Order       uint64
	Incarnation identity.Incarnation
	// Number grows with each report of the incarnation.
	Number uint64
	// Row is the version of the standing that the daemon's choices are made on, and
	// UnderWay how many of its requests are at back ends of other versions than the target,
	// counted after Row was read.
	Row      uint64
	UnderWay int
	// Reads is set at the daemon that reads the store for all.
	Reads   bool
	Stopped bool
	Reason  string
	// Routes are cumulative counts since the daemon's start, of some of the routes: what was
	// told of others earlier still holds, as does an earlier Sample where there is none.
	Routes []rollout.RouteEvidence
	// Sample counts the answers of a few of the stable version's back ends.
	Sample []rollout.BackendCounts
}

// grantMessage answers a reportMessage.
type grantMessage struct {
	Service identity.ServiceName
	Order   uint64
	// Number is the report's.
	Number uint64
	// Granted allows requests to the version under trial for grantTime.
	Granted bool
	Stopped bool
	Reason  string
	// Standing is set where the collector knows a newer one than the report told of.
	Standing *rollout.Standing
}

// stopMessage tells that an order's version is bad, and why.
type stopMessage struct {
	Service identity.ServiceName
	Order   uint64
	Reason  string
}

// standingMessage tells a standing that was written.
type standingMessage struct{ Standing rollout.Standing }
