package deflate_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/deflate"
)

func TestUnpackReturnsWhatWasPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "content")
		packed, err := deflate.Pack(content)
		assert.NilError(t, err)
		got, err := deflate.Unpack(packed, len(content))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, content))
	})
}

// TestLongMessagesTakeNoMemory unpacks a message of which a few bytes say much more.
func TestLongMessagesTakeNoMemory(t *testing.T) {
	packed, err := deflate.Pack(make([]byte, 1<<20))
	assert.NilError(t, err)
	_, err = deflate.Unpack(packed, 1<<10)
	assert.ErrorIs(t, err, deflate.ErrTooLong)
}

// FuzzUnpack unpacks anything.
func FuzzUnpack(f *testing.F) {
	packed, err := deflate.Pack([]byte("some text, some text"))
	assert.NilError(f, err)
	f.Add(packed)
	f.Fuzz(func(_ *testing.T, packed []byte) { _, _ = deflate.Unpack(packed, 1<<12) })
}
