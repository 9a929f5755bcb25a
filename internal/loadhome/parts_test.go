package loadhome

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/loadshare"
)

// TestPartsAreFoundThroughHomes has each daemon of a large fleet send some prompt parts to back ends. Any daemon
// that asks for a part must learn its location, and the number of datagrams must be proportional to the parts, not
// to the fleet size.
func TestPartsAreFoundThroughHomes(t *testing.T) {
	for _, count := range []int{loadshare.MaxPartPeers + 10, 300} {
		synctest.Test(t, func(t *testing.T) {
			sent := 0
			fleet := newFleet(1, count)
			defer fleet.stop()
			fleet.network.Observe(func(string, string, []byte) { sent++ })
			const each = 4
			fact := func(daemon, part int) promptcache.Fact {
				return promptcache.Fact{Part: promptcache.KeyOf("v1", fmt.Sprint(daemon, "/", part)), Backend: uint64(1000 + daemon), Read: true, Tokens: 6000}
			}
			for number, daemon := range fleet.daemons {
				for part := range each {
					daemon.homes.options.Memory.RecordRead(time.Now(), fact(number, part))
					daemon.homes.PublishParts([]promptcache.Fact{fact(number, part)})
				}
			}
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, sent <= count*each*homesPerKey, "%d datagrams", sent)
			for number := range fleet.daemons {
				asking := fleet.daemons[(number+count/2)%count]
				key := fact(number, number%each).Part
				asking.homes.RefreshParts(context.Background(), []promptcache.Key{key})
				holders := asking.homes.options.Memory.Holders(time.Now(), key)
				assert.DeepEqual(t, holders.Read, []uint64{uint64(1000 + number)})
			}
		})
	}
}
