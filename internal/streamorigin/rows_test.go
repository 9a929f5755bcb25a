package streamorigin

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// FuzzRows decodes rows that another writer left. Whatever they hold, nothing panics, and what is taken can be used.
func FuzzRows(f *testing.F) {
	long := identity.SoftwareVersion(strings.Repeat("v", 60_000))
	for _, row := range []any{
		&archiveRow{Format: archiveFormat, Sequence: math.MaxUint64, Versions: []identity.SoftwareVersion{"v1", long}, Streams: []archivedStream{{Key: math.MaxUint64, Version: 1, Backend: math.MaxUint64}}},
		&archiveRow{Format: archiveFormat, Streams: []archivedStream{{Version: -1}}}, &archiveRow{Format: archiveFormat, Streams: []archivedStream{{Version: math.MaxInt}}}, &archiveRow{Format: math.MaxInt},
	} {
		value, err := codec.Marshal(row)
		assert.NilError(f, err)
		f.Add(value)
	}
	for _, row := range []record{
		{Format: recordFormat, Era: math.MaxUint64, Services: []recordedService{{Service: "s", Versions: []identity.SoftwareVersion{"v1", "v1", long}}, {Service: "s"}, {}}}, {Format: math.MinInt},
	} {
		value, err := msgpack.Marshal(row)
		assert.NilError(f, err)
		f.Add(value)
	}
	for _, levels := range []int{9_000, 65_535, 200_000} {
		f.Add(append(bytes.Repeat([]byte{0x91}, levels), 0xc0))
		f.Add(append([]byte("\x82\xa6Format\x01\xa8Services"), bytes.Repeat([]byte{0x91}, levels)...))
		f.Add(append([]byte{0x94, 1, 1, 0x90}, bytes.Repeat([]byte{0x91}, levels)...))
	}
	for _, number := range []string{"\xcf\xff\xff\xff\xff\xff\xff\xff\xff", "\xd3\x80\x00\x00\x00\x00\x00\x00\x00", "\xcb\x7e\x37\xe4\x3c\x88\x00\x75\x9c", "\xff"} {
		f.Add([]byte("\x94\x01" + number + "\x91\xa1v\x91\x93" + number + "\x00" + number))
		f.Add([]byte("\x94\x01\x01\x91\xa1v\x91\x93\x01" + number + "\x01"))
		f.Add([]byte("\x83\xa6Format\x01\xa3Era" + number + "\xa8Services\xc0"))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if stored, err := decodeArchiveRow(value); err == nil {
			assert.Assert(t, len(stored.origins()) <= len(stored.Streams))
		}
		if stored, err := decodeRecord(value); err == nil {
			assert.Assert(t, len(stored.versions()) <= len(stored.Services))
		}
	})
}
