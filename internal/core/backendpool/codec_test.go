package backendpool

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// TestBackendsAreSentWithTheirLives gives back what was encoded. A daemon that knows of no lives reads the
// name, and so does one that is sent a back end without its life.
func TestBackendsAreSentWithTheirLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := identity.BackendName(rapid.SampledFrom([]string{"a", "b@1", ""}).Draw(t, "name"))
		incarnation := identity.Incarnation(rapid.Uint64Range(0, 2).Draw(t, "incarnation"))
		sent := Backend{
			ID: identity.NewBackendID(name, incarnation), Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 4, Software: "v1",
			Draining: rapid.Bool().Draw(t, "draining"), Weights: map[identity.ModelName]uint64{"m": 3},
		}
		encoded, err := msgpack.Marshal([]Backend{sent})
		assert.NilError(t, err)
		var got []Backend
		assert.NilError(t, msgpack.Unmarshal(encoded, &got))
		assert.DeepEqual(t, got, []Backend{sent})
		var datagram bytes.Buffer
		encoder := msgpack.NewEncoder(&datagram)
		encoder.UseArrayEncodedStructs(true) // as daemons' datagrams have it
		assert.NilError(t, encoder.Encode([]Backend{sent, sent}))
		assert.NilError(t, msgpack.Unmarshal(datagram.Bytes(), &got))
		assert.DeepEqual(t, got, []Backend{sent, sent})
		var plain []plainBackend
		assert.NilError(t, msgpack.Unmarshal(encoded, &plain))
		assert.Equal(t, plain[0].ID, identity.BackendID(name))
		assert.Equal(t, plain[0].Address, sent.Address)
	})
}
