package member

import (
	"errors"
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// TestTextFormKeepsADescriptor writes descriptors as text and in messages, and reads them again.
func TestTextFormKeepsADescriptor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		described := Descriptor{
			Address:  rapid.StringMatching(`10\.0\.[0-9]{1,2}\.[0-9]{1,2}:[0-9]{4}`).Draw(t, "address"),
			Zone:     identity.Zone(rapid.SampledFrom([]string{"", "a-1", "north"}).Draw(t, "zone")),
			Capacity: Capacity(rapid.Float64Range(0, 64).Draw(t, "cores"), rapid.Float64Range(0, 1e5).Draw(t, "mbps")),
		}
		parsed, err := Parse(described.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed.Address, described.Address)
		assert.Equal(t, parsed.Zone, described.Zone)
		assert.Assert(t, math.Abs(parsed.Capacity-described.Capacity) <= described.Capacity/100)
		encoded, err := msgpack.Marshal([]Descriptor{parsed})
		assert.NilError(t, err)
		var decoded []Descriptor
		assert.NilError(t, msgpack.Unmarshal(encoded, &decoded))
		assert.DeepEqual(t, decoded, []Descriptor{parsed})
	})
}

// TestAddressAloneDescribesADaemon reads what daemons wrote that told no more.
func TestAddressAloneDescribesADaemon(t *testing.T) {
	parsed, err := Parse("10.0.0.1:7340")
	assert.NilError(t, err)
	assert.Equal(t, parsed, Descriptor{Address: "10.0.0.1:7340", Capacity: UnknownCapacity})
}

// TestMalformedDescriptionsAreRefused names the text that can't be read.
func TestMalformedDescriptionsAreRefused(t *testing.T) {
	for _, text := range []string{"", "10.0.0.1:7340 a-1 much", "10.0.0.1:7340 a-1 0", "10.0.0.1:7340 a-1 NaN", "10.0.0.1:7340 a-1 Inf"} {
		_, err := Parse(text)
		var malformed *MalformedError
		assert.Assert(t, errors.As(err, &malformed), "%q", text)
		assert.Equal(t, malformed.Text, text)
	}
}

// TestCapacityOfUnlikeMachines gives a machine of four times the processor and twenty times the
// link nine times the roles.
func TestCapacityOfUnlikeMachines(t *testing.T) {
	ratio := Capacity(0.8, 200) / Capacity(0.192, 10)
	assert.Assert(t, ratio > 9 && ratio < 9.2, "%v", ratio)
	assert.Equal(t, Capacity(0, 200), UnknownCapacity)
	assert.Equal(t, Capacity(0.8, 0), UnknownCapacity)
}
