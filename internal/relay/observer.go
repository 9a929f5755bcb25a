package relay

import (
	"strconv"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/sharedlimit"
	"github.com/lotusward/lotusward/internal/streamorigin"
)

// Observer is notified of each decision on a request.
type Observer interface {
	// Refused is called when a request ends without an answer from a backend. The completion has
	// no route and no attempt if the request was refused on arrival, and is nil before the first
	// configuration.
	Refused(request *Request, completion *Completion, refusal Refusal)
	// Served is called when a request ends with an answer from a backend. The answer is complete
	// unless Cut is set.
	Served(request *Request, completion *Completion)
	// Retried is called when an attempt yields no answer to pass on and another attempt follows.
	Retried(request *Request, attempt Attempt)
	// Ejected is called when a backend is taken out of rotation.
	Ejected(backend identity.BackendID, result backendpool.Result)
	// Noticed is called when the answer to a request carries a new notice from a backend.
	Noticed(request *Request, backend identity.BackendID, notice backendpool.Notice)
}

// Attempt describes one finished attempt to serve a request at a backend.
type Attempt struct {
	Number  int
	Backend identity.BackendID
	// Version is the version of the weights that the attempt required.
	Version uint64
	// BackendVersion is the software version of the backend, as listed when it was picked.
	BackendVersion identity.SoftwareVersion
	// Candidates is the number of eligible backends, and WaitingTokens the work in flight at the
	// chosen one.
	Candidates    int
	WaitingTokens float64
	// Replaced is set if a newer version of the weights was named before the attempt ended.
	Replaced *ReplacedWeights
	// Source says where how much of the prompt was believed to be cached.
	Source backendpool.Source
	// Software describes the version of the service's software. It is nil if rollouts are
	// disabled.
	Software *SoftwareAttempt
	// FetchFrom and SaveTo are the source and target address of the prompt's cache; empty means
	// none.
	FetchFrom, SaveTo string
	// Notice is what the backend announced about itself in the head of its answer.
	Notice backendpool.Notice
	// Limit is the backend's request limit as known when the attempt was made.
	Limit backendpool.RequestLimit
	// LimitGrant is the attempt's grant from that limit, or nil.
	LimitGrant *sharedlimit.Grant
	// Via is the address of the daemon that the attempt went through; empty if it went directly.
	Via     string
	Elapsed time.Duration
	Result  backendpool.Result
	Reason  string
	// TooLong is set if a part of the answer exceeded a limit.
	TooLong *outcome.TooLongError
	// Malformed is set if what the backend sent forms no answer.
	Malformed *outcome.MalformedError
}

// ReplacedWeights records when a request had to start at a backend whose weights were replaced by
// a newer version. Left is the time that remained when the request started or was cut; it is
// negative after the bound.
type ReplacedWeights struct {
	Bound BeginBound
	Left  time.Duration
	// Begun is set if the request started before the attempt ended.
	Begun bool
}

// BegunLate reports whether the request started later than allowed, including the extra time
// granted to requests queued at the backend. It returns false for nil.
func (r *ReplacedWeights) BegunLate() bool { return r != nil && r.Begun && r.Left < -LastBegin }

// SoftwareAttempt records which version of its service's software a request was sent to and why.
type SoftwareAttempt struct {
	// Version is the software version of the backend.
	Version identity.SoftwareVersion
	// Trial is set if the version was under trial.
	Trial bool
	// Stage, Order and Row identify the rollout standing that the choice was based on.
	Stage      rollout.Stage
	Order, Row uint64
}

// Completion describes how a request ended.
type Completion struct {
	Route                string
	Service              identity.ServiceName
	ConfigurationVersion uint64
	ConfirmationAge      time.Duration
	Tenant               identity.TenantName
	// Grant is the request's grant from its tenant's limit, or nil if there is no limit.
	Grant   *sharedlimit.Grant
	Attempt Attempt
	// Shortage says why no backend was eligible, if that ended the request.
	Shortage backendpool.Shortage
	Status   int
	Elapsed  time.Duration
	// FirstByte is the time from the request's arrival to the first byte of the answer.
	FirstByte time.Duration
	// Resumed is how often the stream was continued at another backend.
	Resumed int
	// Origin is what was known of the beginning of the stream that the request continued.
	Origin streamorigin.Found
	// Cut is why an answer ended early; empty if the answer is complete.
	Cut string
	// Fingerprint identifies the request across its retries by the caller. It is zero if the
	// request was refused on arrival.
	Fingerprint quarantine.Fingerprint
	// Crashes is the number of known backend crashes while the request was in flight there.
	Crashes int
}

func formatVersion(version uint64) string { return strconv.FormatUint(version, 10) }
