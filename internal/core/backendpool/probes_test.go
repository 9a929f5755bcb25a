package backendpool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// pickOne picks a back end for one request.
func pickOne(pool *Pool, now time.Time) *Ticket {
	return pool.Pick(now, Query{Service: "llm", Model: "m", Home: 1})
}

func suspects(pool *Pool, now time.Time) []identity.BackendID {
	var ids []identity.BackendID
	for _, suspect := range pool.TakeDueProbes(now) {
		ids = append(ids, suspect.ID)
	}
	return ids
}

// TestSilenceUnderRequestsIsProbed checks that a back end is probed only after a period of silence with requests in
// flight, and not again right after a successful probe.
func TestSilenceUnderRequestsIsProbed(t *testing.T) {
	pool := New("a")
	pool.Update(engines(3))
	assert.Equal(t, len(suspects(pool, start.Add(time.Hour))), 0)
	now := start.Add(2 * time.Hour)
	ticket := pickOne(pool, now)
	assert.Equal(t, len(suspects(pool, now.Add(silenceThreshold-time.Millisecond))), 0)
	ticket.RecordActivity(now.Add(silenceThreshold / 2))
	assert.Equal(t, len(suspects(pool, now.Add(silenceThreshold))), 0)
	now = now.Add(2 * silenceThreshold)
	assert.DeepEqual(t, suspects(pool, now), []identity.BackendID{ticket.Backend.ID})
	assert.Equal(t, len(suspects(pool, now)), 0, "one probe at a time")
	assert.Equal(t, pool.RecordProbe(now, ticket.Backend.ID, Connected), ProbeNoChange)
	assert.Equal(t, len(suspects(pool, now.Add(probeInterval-time.Millisecond))), 0)
	assert.Equal(t, len(suspects(pool, now.Add(probeInterval))), 1)
	ticket.Release(now, ResultServed)
}

// TestUnreachedIsOutUntilAProbeReachesIt checks that a back end is ejected after a failed probe, that its requests
// and the other daemons are notified, and that it is used again only after a successful probe.
func TestUnreachedIsOutUntilAProbeReachesIt(t *testing.T) {
	pool := New("a")
	pool.Update(engines(3))
	ticket := pickOne(pool, start)
	id := ticket.Backend.ID
	lost := 0
	ticket.OnLost(func(bool) { lost++ })
	ended := pickOne(pool, start)
	ended.OnLost(func(bool) { lost += 100 })
	ended.Release(start, ResultServed)

	now := start.Add(silenceThreshold)
	assert.DeepEqual(t, suspects(pool, now), []identity.BackendID{id})
	assert.Equal(t, pool.RecordProbe(now, id, ConnectRefused), ProbeEjected)
	assert.Equal(t, lost, 1)
	assert.Equal(t, len(pool.TakeFailureReports()), 1)
	for range 5 {
		assert.Assert(t, !pickedAll(pool, now)[string(id)])
		now = now.Add(unreachableEjection - reprobeLead)
		assert.DeepEqual(t, suspects(pool, now), []identity.BackendID{id})
		assert.Equal(t, pool.RecordProbe(now, id, ConnectRefused), ProbeNoChange, "it is out already")
	}
	now = now.Add(unreachableEjection - reprobeLead)
	assert.DeepEqual(t, suspects(pool, now), []identity.BackendID{id})
	assert.Equal(t, pool.RecordProbe(now, id, Connected), ProbeReinstated)
	assert.Assert(t, pickedAll(pool, now)[string(id)])
}

// TestAccusedIsProbed checks that a report by one other daemon triggers a probe but no ejection.
func TestAccusedIsProbed(t *testing.T) {
	reporter, pool := New("a"), New("a")
	reporter.Update(engines(3))
	pool.Update(engines(3))
	ticket := pickOne(reporter, start)
	ticket.Release(start, ResultUnreachable)
	pool.ReceiveFailureReports(start, "one", reporter.TakeFailureReports())
	assert.DeepEqual(t, suspects(pool, start), []identity.BackendID{ticket.Backend.ID})
	assert.Assert(t, pickedAll(pool, start)[string(ticket.Backend.ID)])
	pool.RecordProbe(start, ticket.Backend.ID, Connected)
	assert.Equal(t, len(suspects(pool, start.Add(time.Hour))), 0)
}

// TestNeedlessProbesAreRare checks that probes of silent but healthy back ends are limited in rate, and that those
// silent for longest are probed first.
func TestNeedlessProbesAreRare(t *testing.T) {
	const count = 40
	pool := New("a")
	pool.Update(engines(count))
	for home := range uint64(400) {
		pool.Pick(start.Add(time.Duration(home)*time.Millisecond), Query{Service: "llm", Model: "m", Home: home + 1})
	}
	now := start.Add(time.Second)
	first := suspects(pool, now)
	assert.Equal(t, len(first), silenceProbeBurst)
	for _, found := range pool.byID {
		for _, id := range first {
			assert.Assert(t, !found.probeState.silentSince.Before(pool.byID[id].probeState.silentSince) || found.probeState.probing)
		}
	}
	probes := 0
	const seconds = 60
	for range seconds * 20 {
		now = now.Add(50 * time.Millisecond)
		for _, id := range suspects(pool, now) {
			probes++
			pool.RecordProbe(now, id, Connected)
		}
	}
	assert.Assert(t, probes > 0 && float64(probes) <= seconds*silenceProbeRate+1, "%d probes", probes)
}

// TestUnreachableStaysEjectedDuringProbe checks that an unreachable back end stays ejected while the probe before its
// return takes longer than the remaining ejection. A late probe at a busy daemon left a gap of some milliseconds in
// which requests were sent there.
func TestUnreachableStaysEjectedDuringProbe(t *testing.T) {
	pool := New("a")
	pool.Update(fleet(2))
	id := fleet(2)[0].ID
	pool.RequestProbe(start, id)
	assert.Equal(t, len(pool.TakeDueProbes(start)), 1)
	pool.RecordProbe(start, id, ConnectRefused)
	again := start.Add(unreachableEjection - reprobeLead)
	assert.Equal(t, len(pool.TakeDueProbes(again)), 1)
	for late := range 9 {
		now := again.Add(time.Duration(late) * 100 * time.Millisecond)
		assert.Assert(t, pool.byID[id].ejected(now), "%v after the probe began", now.Sub(again))
	}
	pool.RecordProbe(again.Add(800*time.Millisecond), id, Connected)
	assert.Assert(t, !pool.byID[id].ejected(again.Add(801*time.Millisecond)))
}
