package codec

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// message is as daemons send them.
type message struct {
	Keys  []uint64
	Names map[string]uint64
	Inner []message
	Value []byte
}

func sample() message {
	sent := message{Names: map[string]uint64{}, Value: []byte("value")}
	for number := range uint64(60) {
		sent.Keys = append(sent.Keys, number<<50)
		sent.Names[string(rune('a'+number))] = number
	}
	sent.Inner = []message{{Keys: []uint64{1}}, {}}
	return sent
}

// TestWholeMessagesAreDecoded gives back what was encoded.
func TestWholeMessagesAreDecoded(t *testing.T) {
	encoded, err := msgpack.Marshal(sample())
	assert.NilError(t, err)
	var got message
	assert.NilError(t, Unmarshal(encoded, &got))
	assert.DeepEqual(t, got, sample())
}

// TestLengthsBeyondTheEndTakeNoMemory decodes lists and texts that say to be far longer than they are. The
// library alone ends the process for want of memory at the first.
func TestLengthsBeyondTheEndTakeNoMemory(t *testing.T) {
	for _, encoded := range []string{
		"\xdd\xff\xff\xff\xff\x01", "\xdf\xff\xff\xff\xff\xa1a\x01", "\xc6\xff\xff\xff\xff\x01", "\x81\xa4Keys\xdd\xff\xff\xff\xff",
		"\xdc\xff\xff\x91\xdd\xf0\x00\x00\x00", "",
	} {
		var one message
		var list []message
		assert.Assert(t, Unmarshal([]byte(encoded), &one) != nil, "%q", encoded)
		assert.Assert(t, Unmarshal([]byte(encoded), &list) != nil, "%q", encoded)
	}
}

// FuzzUnmarshal decodes anything into what daemons send each other.
func FuzzUnmarshal(f *testing.F) {
	encoded, err := msgpack.Marshal(sample())
	assert.NilError(f, err)
	f.Add(encoded)
	f.Add([]byte("\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		var got message
		_ = Unmarshal(encoded, &got)
	})
}

// BenchmarkUnmarshal compares decoding with the library's own.
func BenchmarkUnmarshal(b *testing.B) {
	encoded, err := msgpack.Marshal(sample())
	assert.NilError(b, err)
	b.Run("checked", func(b *testing.B) {
		for b.Loop() {
			var got message
			assert.NilError(b, Unmarshal(encoded, &got))
		}
	})
	b.Run("library", func(b *testing.B) {
		for b.Loop() {
			var got message
			assert.NilError(b, msgpack.Unmarshal(encoded, &got))
		}
	})
	b.Logf("%d bytes", len(encoded))
}
