package openai

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestChunksKeepTheFirstIdentity takes chunks of two back ends, in both orders of fields, and
// leaves what only looks like an identity in the answer's text alone.
func TestChunksKeepTheFirstIdentity(t *testing.T) {
	var identity chunkIdentity
	first := `{"id":"a","object":"c","created":1,"choices":[{"delta":{"content":"\"id\":\"x\""}}]}`
	assert.Equal(t, string(identity.apply([]byte(first))), first)
	assert.Equal(t, string(identity.apply([]byte(`{"id":"b","object":"c","created":2,"choices":[]}`))), `{"id":"a","object":"c","created":1,"choices":[]}`)
	assert.Equal(t, string(identity.apply([]byte(`{"choices":[],"created":3,"id":"d"}`))), `{"choices":[],"created":1,"id":"a"}`)
	assert.Equal(t, string(identity.apply([]byte("[DONE]"))), "[DONE]")
}
