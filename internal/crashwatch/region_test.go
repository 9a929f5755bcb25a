package crashwatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
)

// wayBetweenRegions is how long a datagram takes over a border, one way.
const wayBetweenRegions = 20 * time.Millisecond

// regionOf is the region of a daemon, of three: its number's remainder.
func regionOf(address string) identity.Region {
	var number int
	_, _ = fmt.Sscanf(address, "10.0.0.%d:", &number) // addresses of fleets are of this form
	return identity.Region(fmt.Sprint(number % 3))
}

// newThreeRegions are some daemons of three regions.
func newThreeRegions(seed uint64, count int) *fleet {
	made := newRegionFleet(seed, count, regionOf)
	made.network.SetWay(func(from, to string) time.Duration {
		if regionOf(from) != regionOf(to) {
			return wayBetweenRegions
		}
		return peerlinktest.Delay
	})
	return made
}

// TestRegionsLearnOfQuarantine ends two back ends in two regions: the daemons of all regions know it
// as soon as one datagram has come over each border, though a fifth of all are lost.
func TestRegionsLearnOfQuarantine(t *testing.T) {
	for _, lossy := range []float64{0, 0.2} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newThreeRegions(3, 12)
			fleet.network.Lose(lossy)
			time.Sleep(time.Second)
			fleet.send(fleet.daemons[1], 7)
			time.Sleep(time.Second)
			fleet.send(fleet.daemons[2], 7)
			wait := detectTime + announceInterval + wayBetweenRegions + 2*peerlinktest.Delay
			if lossy > 0 {
				wait = contactTime
			}
			time.Sleep(wait)
			for _, each := range fleet.daemons {
				assert.Assert(t, each.watcher.Verdict(7).Quarantined, each.Address())
			}
			fleet.stopAll()
		})
	}
}

// TestEvidenceCrossesBordersOnce counts the datagrams over borders for two ends: three announcements
// of each, to two regions.
func TestEvidenceCrossesBordersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newThreeRegions(3, 30)
		crossings := 0
		fleet.network.Observe(func(from, to string, datagram []byte) {
			if regionOf(from) != regionOf(to) && peerlink.KindOf(datagram) == peerlink.KindCrashes {
				crossings++
			}
		})
		fleet.send(fleet.daemons[1], 7)
		time.Sleep(3 * time.Second)
		assert.Assert(t, crossings > 0 && crossings <= 3*2, "%d datagrams", crossings)
		fleet.stopAll()
	})
}

// TestCutRegionsQuarantineForThemselves sends the request on at all daemons while a region is cut off:
// each side ends no more back ends than it takes to find out, and soon after the heal all know, by
// gossip, with no wave of datagrams.
func TestCutRegionsQuarantineForThemselves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newThreeRegions(5, 9)
		time.Sleep(time.Second)
		fleet.network.Block(func(from, to string) bool { return (regionOf(from) == "0") != (regionOf(to) == "0") })
		for round := range 60 {
			fleet.send(fleet.daemons[round%9], 7)
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, fleet.ended, 2*quarantine.CrashLimit)
		fleet.network.Block(nil)
		sent := 0
		fleet.network.Observe(func(from, to string, _ []byte) { sent++ })
		time.Sleep(contactTime)
		for _, each := range fleet.daemons {
			assert.Assert(t, each.watcher.Verdict(7).Quarantined, each.Address())
		}
		perSecondAndDaemon := float64(sent) / contactTime.Seconds() / 9
		assert.Assert(t, perSecondAndDaemon <= 8, "%v datagrams a second and daemon", perSecondAndDaemon)
		fleet.stopAll()
	})
}
