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

// TestTextFormRoundTrip encodes descriptors as text and in messages, and decodes them again.
func TestTextFormRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		descriptor := Descriptor{
			Address:  rapid.StringMatching(`10\.0\.[0-9]{1,2}\.[0-9]{1,2}:[0-9]{4}`).Draw(t, "address"),
			Zone:     identity.Zone(rapid.SampledFrom([]string{"", "a-1", "north"}).Draw(t, "zone")),
			Capacity: Capacity(rapid.Float64Range(0, 64).Draw(t, "cores"), rapid.Float64Range(0, 1e5).Draw(t, "mbps")),
		}
		parsed, err := Parse(descriptor.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed.Address, descriptor.Address)
		assert.Equal(t, parsed.Zone, descriptor.Zone)
		assert.Assert(t, math.Abs(parsed.Capacity-descriptor.Capacity) <= descriptor.Capacity/100)
		encoded, err := msgpack.Marshal([]Descriptor{parsed})
		assert.NilError(t, err)
		var decoded []Descriptor
		assert.NilError(t, msgpack.Unmarshal(encoded, &decoded))
		assert.DeepEqual(t, decoded, []Descriptor{parsed})
	})
}

// TestAddressAloneIsADescriptor parses the text form of older daemons, which has only an address.
func TestAddressAloneIsADescriptor(t *testing.T) {
	parsed, err := Parse("10.0.0.1:7340")
	assert.NilError(t, err)
	assert.Equal(t, parsed, Descriptor{Address: "10.0.0.1:7340", Capacity: UnknownCapacity})
}

// TestMalformedDescriptorsAreRejected checks that the error contains the malformed text.
func TestMalformedDescriptorsAreRejected(t *testing.T) {
	for _, text := range []string{"", "10.0.0.1:7340 a-1 much", "10.0.0.1:7340 a-1 0", "10.0.0.1:7340 a-1 NaN", "10.0.0.1:7340 a-1 Inf"} {
		_, err := Parse(text)
		var malformed *MalformedError
		assert.Assert(t, errors.As(err, &malformed), "%q", text)
		assert.Equal(t, malformed.Text, text)
	}
}

// TestCapacityOfUnequalMachines checks that a machine with four times the processor and twenty
// times the link has nine times the capacity.
func TestCapacityOfUnequalMachines(t *testing.T) {
	ratio := Capacity(0.8, 200) / Capacity(0.192, 10)
	assert.Assert(t, ratio > 9 && ratio < 9.2, "%v", ratio)
	assert.Equal(t, Capacity(0, 200), UnknownCapacity)
	assert.Equal(t, Capacity(0.8, 0), UnknownCapacity)
}
