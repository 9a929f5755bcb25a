package loadhome

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// probe runs the due probes of all daemons' pools. gone reports which back ends are unreachable.
func (f *fleet) probe(gone func(backendpool.ProbeTarget) bool) (probes int) {
	for _, each := range f.daemons {
		for _, suspect := range each.pool.TakeDueProbes(time.Now()) {
			probes++
			result := backendpool.Connected
			if gone(suspect) {
				result = backendpool.ConnectRefused
			}
			each.pool.RecordProbe(time.Now(), suspect.ID, result)
		}
	}
	return probes
}

// TestFindingsReachNextSender has one daemon of a large fleet find a back end unreachable or draining. Each other
// daemon that samples the back end must learn this before it sends there. Broadcasting findings and requiring two
// reports did not work: where each daemon sends to a back end only every few hours, no daemon ever learned it.
func TestFindingsReachNextSender(t *testing.T) {
	for name, find := range map[string]func(*backendpool.Pool, *backendpool.Ticket){
		"unreached": func(_ *backendpool.Pool, ticket *backendpool.Ticket) {
			ticket.Release(time.Now(), backendpool.ResultUnreachable)
		},
		"draining": func(pool *backendpool.Pool, ticket *backendpool.Ticket) {
			pool.RecordNotice(time.Now(), ticket.Backend.ID, backendpool.Notice{Draining: true})
			ticket.Release(time.Now(), backendpool.ResultServed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(1, 40)
				defer fleet.stop()
				time.Sleep(time.Second)
				finder := fleet.daemons[7]
				ticket := finder.pool.Pick(time.Now(), backendpool.Query{Service: "s"})
				gone := ticket.Backend.ID
				find(finder.pool, ticket)
				time.Sleep(50 * time.Millisecond)
				probes := fleet.probe(func(suspect backendpool.ProbeTarget) bool { return suspect.ID == gone })
				assert.Assert(t, probes <= homesPerKey+1, "%d probes", probes)
				for number, asking := range fleet.daemons {
					var keys []uint64
					for backend := range backends {
						keys = append(keys, rendezvous.Key(string(backendID(backend))))
					}
					asking.homes.Refresh(context.Background(), keys)
					time.Sleep(time.Millisecond) // the simulated network may reorder datagrams sent together
					for range 10 {
						picked := asking.pool.Pick(time.Now(), backendpool.Query{Service: "s", CandidateKeys: keys})
						assert.Assert(t, picked.Backend.ID != gone, "by daemon %d", number)
						picked.Release(time.Now(), backendpool.ResultServed)
					}
				}
			})
		})
	}
}

// TestIsolatedDaemonEjectsNoBackends has a daemon that lost contact to all back ends report them as unreachable.
// Their homes still reach them, so no other daemon may eject them.
func TestIsolatedDaemonEjectsNoBackends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 40)
		defer fleet.stop()
		time.Sleep(time.Second)
		cut := fleet.daemons[3]
		for range backends {
			cut.pool.Pick(time.Now(), backendpool.Query{Service: "s"}).Release(time.Now(), backendpool.ResultUnreachable)
		}
		time.Sleep(50 * time.Millisecond)
		fleet.probe(func(backendpool.ProbeTarget) bool { return false })
		for _, asking := range fleet.daemons {
			if asking == cut {
				continue
			}
			keys := []uint64{rendezvous.Key(string(backendID(0))), rendezvous.Key(string(backendID(1)))}
			asking.homes.Refresh(context.Background(), keys)
			for _, state := range asking.pool.States(time.Now()) {
				assert.Assert(t, !state.Ejected, "%s", state.Backend.ID)
			}
		}
	})
}
