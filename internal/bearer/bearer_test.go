package bearer

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTokenIsOfTheBearerScheme reads headers of callers.
func TestTokenIsOfTheBearerScheme(t *testing.T) {
	for _, each := range []struct {
		header, token string
		found         bool
	}{
		{header: "Bearer k", token: "k", found: true},
		{header: "bearer  k ", token: "k", found: true},
		{header: "Bearer", found: true},
		{header: "Basic k", token: "k"},
		{header: ""},
	} {
		token, found := Token(http.Header{"Authorization": {each.header}})
		assert.Equal(t, token, each.token, each.header)
		assert.Equal(t, found, each.found, each.header)
	}
}
