package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/port"
)

// grantingClaims grants every claim at once.
type grantingClaims struct{ port.Claims }

func (grantingClaims) Claim(context.Context, port.ClaimKey) port.ClaimVerdict {
	return port.ClaimGranted
}

// Only the keys that replicas vote on wait for the first roster.
func TestOnlyKeysOfKnownBirthWaitForVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ready := make(chan struct{})
		claims := startingClaims{Claims: grantingClaims{}, ready: ready}
		heldFor := func(key port.ClaimKey) time.Duration {
			began := time.Now()
			assert.Equal(t, claims.Claim(context.Background(), key), port.ClaimGranted)
			return time.Since(began)
		}
		dated, undated := port.ClaimKey{Key: "dated", Born: time.Now()}, port.ClaimKey{Key: "undated"}
		assert.Equal(t, heldFor(undated), time.Duration(0))
		assert.Equal(t, heldFor(dated), firstRosterWait)
		close(ready)
		assert.Equal(t, heldFor(dated), time.Duration(0))
	})
}
