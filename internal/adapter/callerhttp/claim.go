package callerhttp

import (
	"context"
	"net/http"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// claim guards a request that must run at most once. The returned function
// settles the claim with what the request came to. A request without a caller's
// key needs no claim: this daemon dispatches it only once, and nobody else knows it.
func (e *exchange) claim(ctx context.Context, service identity.ServiceName, options callOptions) (func(identity.RunState), *failure) {
	if options.IdempotencyKey == "" {
		return func(identity.RunState) {}, nil
	}
	claims := e.handler.options.Claims
	if claims == nil {
		return nil, claimFailure(port.ClaimUnavailable)
	}
	key := port.ClaimKey{Tenant: e.tenant.Name, Service: service, Key: options.IdempotencyKey, Born: options.KeyBorn}
	verdict := claims.Claim(ctx, key)
	if verdict != port.ClaimGranted {
		return nil, claimFailure(verdict)
	}
	return func(state identity.RunState) { claims.Settle(key, state) }, nil
}

func claimFailure(verdict port.ClaimVerdict) *failure {
	failed := &failure{Status: http.StatusConflict, Type: typeInvalidRequest, RetryAfter: defaultRetryAfter}
	switch verdict {
	case port.ClaimRunning:
		failed.Code = codeClaimRunning
		failed.RunState = identity.RunStateUnknown
		failed.Message = "a request with this idempotency key is being served"
	case port.ClaimRan:
		failed.Code = codeClaimRan
		failed.RunState = identity.RunStateRan
		failed.Message = "a request with this idempotency key ran before"
	case port.ClaimUnavailable:
		return unavailable(codeClaimsUnavailable, identity.RunStateNotRun, 0,
			"it cannot be made sure now that the request runs at most once")
	default:
		failed.Code = codeClaimInDoubt
		failed.RunState = identity.RunStateUnknown
		failed.Message = "a request with this idempotency key may have run before"
	}
	return failed
}
