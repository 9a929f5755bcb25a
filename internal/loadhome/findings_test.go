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

// probe probes the suspects of all daemons' pools; gone tells which back ends can't be reached.
func (f *fleet) probe(gone func(backendpool.ProbeTarget) bool) (probes int) {
	for _, each := range f.daemons {
		for _, suspect := range each.pool.TakeDueProbes(time.Now()) {
			probes++
			each.pool.RecordProbe(time.Now(), suspect.ID, !gone(suspect))
		}
	}
	return probes
}

// TestOneDaemonsFindingsReachWhoSendsNext lets one daemon of many find a back end gone, draining or refusing: each other
// one that samples it learns so before it sends. Telling all daemons, and believing two, nobody ever learnt it where each
// sends to a back end every few hours.
func TestOneDaemonsFindingsReachWhoSendsNext(t *testing.T) {
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
				assert.Assert(t, probes <= homesEach+1, "%d probes", probes)
				for number, asking := range fleet.daemons {
					var keys []uint64
					for backend := range backends {
						keys = append(keys, rendezvous.Key(string(backendID(backend))))
					}
					asking.homes.Refresh(context.Background(), keys)
					time.Sleep(time.Millisecond) // here datagrams that are sent together may overtake each other
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

// TestCutOffDaemonConvincesNobody has a daemon that is cut off from all back ends tell so: their homes reach them, and
// nobody leaves them out.
func TestCutOffDaemonConvincesNobody(t *testing.T) {
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
