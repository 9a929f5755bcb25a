package streamorigin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/peerlink"
)

// datagramsPerAsked are the question, the evidence and the answer.
const datagramsPerAsked = 3

// TestUnknownStreamsCostFewCalls bounds what it costs to look up a stream that nobody remembers while a single version is listed.
func TestUnknownStreamsCostFewCalls(t *testing.T) {
	const zones = 3
	for daemons, asked := range map[int]int{3: 2, 16: 15, 300: candidatesPerZone * zones} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, store := newFleet(1, daemons, "v1"), newVerifierPlay(daemons)
				asker := fleet.daemons[0].registry
				asker.options.Verify = store.Verify
				sent := map[peerlink.Kind]int{}
				fleet.network.Observe(func(_, _ string, datagram []byte) { sent[peerlink.Kind(datagram[0])]++ })
				found := asker.Find(context.Background(), stream(1))
				synctest.Wait()
				assert.Equal(t, found.Asked, asked)
				all := 0
				for _, count := range sent {
					all += count
				}
				assert.Assert(t, all <= datagramsPerAsked*asked, "%d datagrams: %v", all, sent)
				calls := len(store.looks()) + store.refreshed
				assert.Assert(t, calls <= 2, "%d calls", calls)
				t.Logf("%d datagrams, %d calls of the store", all, calls)
			})
		})
	}
}

// BenchmarkCheckContact measures one check of the contact in a fleet of 985 daemons.
func BenchmarkCheckContact(b *testing.B) {
	registry, _ := newLargeFleetRegistry(985)
	for b.Loop() {
		registry.checkContact()
	}
}
