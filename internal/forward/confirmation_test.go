package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/relay"
)

// TestConfirmationsCrossDaemons guards against a request that is sent through another daemon without the confirmation it needs.
func TestConfirmationsCrossDaemons(t *testing.T) {
	for _, each := range []relay.Confirmation{relay.ConfirmationNone, relay.ConfirmationWanted, relay.ConfirmationRequired} {
		assert.Equal(t, confirmationOf(confirmationHeader(&relay.Dispatch{Confirmation: each})), each)
	}
	assert.Equal(t, confirmationOf(http.Header{headerConfirmation: {"?"}}), relay.ConfirmationRequired)
	for _, cause := range []error{relay.ErrRestarted, relay.ErrUnconfirmed} {
		header := http.Header{}
		setNotSent(header, &relay.SendError{Cause: cause})
		assert.ErrorIs(t, notSentCause(header), cause)
	}
	for _, incarnation := range []identity.Incarnation{0, 1796389894402} {
		header := http.Header{}
		setIncarnation(header, incarnation)
		assert.Equal(t, incarnationOf(header), incarnation)
	}
}
