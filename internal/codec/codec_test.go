package codec

import (
	"bytes"
	"errors"
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

// TestDeeplyNestedValuesAreNotDecoded guards against values that take the whole stack, which ends the process: four million levels
// fit in a row of a store that doesn't bound rows, and in a packed list.
func TestDeeplyNestedValuesAreNotDecoded(t *testing.T) {
	for _, levels := range []int{9_000, 65_535, 200_000, 4 << 20} {
		for _, level := range []string{"\x91", "\x81\xa1a", "\x94\xc0\xc0", "\xdc\x00\x01", "\xdf\x00\x00\x00\x01\xc0"} {
			encoded := append(bytes.Repeat([]byte(level), levels), bytes.Repeat([]byte{0xc0}, 2*levels)...)
			var one message
			assert.ErrorIs(t, Unmarshal(encoded, &one), errTooDeep, "%d levels of %q", levels, level)
			var anything any
			assert.ErrorIs(t, Unmarshal(encoded, &anything), errTooDeep, "%d levels of %q", levels, level)
		}
	}
	var anything any
	assert.NilError(t, Unmarshal(append(bytes.Repeat([]byte{0x91}, maxDepth), 0xc0), &anything))
}

// FuzzUnmarshal decodes anything into what daemons send each other, and compares what is taken for whole with the library.
func FuzzUnmarshal(f *testing.F) {
	encoded, err := msgpack.Marshal(sample())
	assert.NilError(f, err)
	f.Add(encoded)
	for _, seed := range []string{
		"\xdd\xff\xff\xff\xff", "\xdc\x00\x02\xc0", "\xde\x00\x01\xc0\xc0", "\xd4\x01\x02", "\xd8\x01", "\xc7\x02\x01ab", "\xc9\xff\xff\xff\xff\x01", "\xd9\x03abc", "\xda\x00\x03abc", "\xdb\x00\x00\x00\x03ab",
		"\xc4\x01a", "\xc5\x00\x01a", "\xc6\x00\x00\x00\x01a", "\xca1234", "\xcb12345678", "\xcc1", "\xcd12", "\xce1234", "\xcf12345678", "\xd01", "\xd112", "\xd21234", "\xd312345678", "\xc1", "\xe0", "\x80", "\x90", "\xa0",
	} {
		f.Add([]byte(seed))
		f.Add([]byte(seed[:len(seed)-1]))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if err := check(encoded); !errors.Is(err, errTooDeep) {
			skipped := msgpack.NewDecoder(bytes.NewReader(encoded)).Skip()
			assert.Equal(t, err == nil, skipped == nil, "%v, by the library %v", err, skipped)
		}
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
