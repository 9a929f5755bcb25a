package port

import (
	"context"
	"fmt"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
)

// Views gives the newest published view of configuration and back ends. It is
// safe for use by any goroutine.
type Views interface {
	View() *view.View
}

// Scheduling is how traffic goroutines reach the scheduler, which the control
// goroutine owns.
type Scheduling interface {
	// Schedule waits for the request's turn. It fails with *RefusedError when the
	// request is refused, and with the context's error when the caller went away;
	// in both cases the attempt did not start.
	Schedule(ctx context.Context, request scheduler.Request) (scheduler.Start, error)
	FirstToken(report scheduler.FirstToken)
	Finish(report scheduler.Finish)
}

// RefusedError says that the scheduler refused a request; this attempt did not run.
type RefusedError struct {
	Reason     scheduler.RefusalReason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", e.Reason, e.RetryAfter)
}

// ClaimKey names a request that must run at most once.
type ClaimKey struct {
	Tenant  identity.TenantName  `msgpack:"tenant"`
	Service identity.ServiceName `msgpack:"service"`
	// Key is the caller's idempotency key.
	Key string `msgpack:"key"`
	// Born is when the caller made the key, from a UUIDv7 key; zero when unknown.
	Born time.Time `msgpack:"born"`
}

// ClaimVerdict is what a claim came to.
type ClaimVerdict string

// The verdicts of a claim.
const (
	// ClaimGranted allows exactly one dispatch.
	ClaimGranted ClaimVerdict = "granted"
	// ClaimRunning says that another holder has the claim and may run the request.
	ClaimRunning ClaimVerdict = "running"
	// ClaimRan says that the request ran before.
	ClaimRan ClaimVerdict = "ran"
	// ClaimInDoubt says that it cannot be known whether the request ran before;
	// this call ran nothing.
	ClaimInDoubt ClaimVerdict = "in_doubt"
	// ClaimUnavailable says that no quorum answered, and that no replica can
	// count this call as a grant; nothing ran.
	ClaimUnavailable ClaimVerdict = "unavailable"
)

// Claims guards requests that must run at most once.
type Claims interface {
	// Claim asks to be the only one that dispatches the request. It never fails:
	// what it could not find out is in the verdict.
	Claim(ctx context.Context, key ClaimKey) ClaimVerdict
	// Settle records how a granted claim ended: RunStateRan, RunStateUnknown, or
	// RunStateNotRun, which frees the key for a later try.
	Settle(key ClaimKey, state identity.RunState)
}
