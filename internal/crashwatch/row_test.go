package crashwatch

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/port"
)

// FuzzRow has a daemon that starts read a row that another writer left. Whatever it holds, requests that end back ends are quarantined
// all the same, and others are not.
func FuzzRow(f *testing.F) {
	for _, levels := range []int{9_000, 65_535, 200_000} {
		f.Add(append(bytes.Repeat([]byte{0x91}, levels), 0xc0))
	}
	for _, number := range []string{"\xcf\xff\xff\xff\xff\xff\xff\xff\xff", "\xcf\x7f\xff\xff\xff\xff\xff\xff\xff", "\xcf\x40\x00\x00\x00\x00\x00\x00\x00", "\xd3\x80\x00\x00\x00\x00\x00\x00\x00", "\xcb\x7e\x37\xe4\x3c\x88\x00\x75\x9c", "\xff", "\x00", "\xc0"} {
		f.Add([]byte("\x91\x83\xabFingerprint\x01\xa7Backend\x01\xa4AtMs" + number))
		f.Add([]byte("\x91\x83\xabFingerprint" + number + "\xa7Backend" + number + "\xa4AtMs" + number))
	}
	f.Add([]byte("\xdd\xff\xff\xff\xff"))
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, value []byte) {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(3, 1)
			fleet.daemons[0].restart()
			_, committed := fleet.table.Table.Commit(port.Transaction{Writes: []port.Write{{Key: RowKey, Value: value}}})
			assert.Assert(t, committed)
			time.Sleep(time.Second)
			fleet.send(fleet.daemons[0], 7)
			fleet.send(fleet.daemons[0], 7)
			time.Sleep(time.Second)
			assert.Assert(t, fleet.daemons[0].watcher.Verdict(7).Quarantined)
			assert.Assert(t, !fleet.daemons[0].watcher.Verdict(8).Quarantined)
			fleet.stopAll()
		})
	})
}
