package backendpool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// sent picks a place at a back end of three for one request.
func sent(pool *Pool, now time.Time) *Ticket {
	return pool.Pick(now, Query{Service: "llm", Model: "m", Home: 1})
}

func suspects(pool *Pool, now time.Time) []identity.BackendID {
	var ids []identity.BackendID
	for _, suspect := range pool.TakeDueProbes(now) {
		ids = append(ids, suspect.ID)
	}
	return ids
}

// TestSilenceUnderRequestsIsProbed suspects a back end only while requests are under way
// and nothing has come for a while, and not again at once after a good probe.
func TestSilenceUnderRequestsIsProbed(t *testing.T) {
	pool := New("a")
	pool.Update(engines(3))
	assert.Equal(t, len(suspects(pool, start.Add(time.Hour))), 0)
	now := start.Add(2 * time.Hour)
	ticket := sent(pool, now)
	assert.Equal(t, len(suspects(pool, now.Add(suspiciousSilence-time.Millisecond))), 0)
	ticket.RecordActivity(now.Add(suspiciousSilence / 2))
	assert.Equal(t, len(suspects(pool, now.Add(suspiciousSilence))), 0)
	now = now.Add(2 * suspiciousSilence)
	assert.DeepEqual(t, suspects(pool, now), []identity.BackendID{ticket.Backend.ID})
	assert.Equal(t, len(suspects(pool, now)), 0, "one probe at a time")
	assert.Equal(t, pool.RecordProbe(now, ticket.Backend.ID, true), ProbeNoChange)
	assert.Equal(t, len(suspects(pool, now.Add(probeInterval-time.Millisecond))), 0)
	assert.Equal(t, len(suspects(pool, now.Add(probeInterval))), 1)
	ticket.Release(now, ResultServed)
}

// TestUnreachedIsOutUntilAProbeReachesIt takes a back end out after a failed probe, tells
// its requests and the other daemons, and uses it again only once a probe reaches it.
func TestUnreachedIsOutUntilAProbeReachesIt(t *testing.T) {
	pool := New("a")
	pool.Update(engines(3))
	ticket := sent(pool, start)
	id := ticket.Backend.ID
	lost := 0
	ticket.OnLost(func() { lost++ })
	ended := sent(pool, start)
	ended.OnLost(func() { lost += 100 })
	ended.Release(start, ResultServed)

	now := start.Add(suspiciousSilence)
	assert.DeepEqual(t, suspects(pool, now), []identity.BackendID{id})
	assert.Equal(t, pool.RecordProbe(now, id, false), ProbeEjected)
	assert.Equal(t, lost, 1)
	assert.Equal(t, len(pool.TakeFailureReports()), 1)
	for range 5 {
		assert.Assert(t, !pickedAll(pool, now)[string(id)])
		now = now.Add(unreachedEjection - returnLead)
		assert.DeepEqual(t, suspects(pool, now), []identity.BackendID{id})
		assert.Equal(t, pool.RecordProbe(now, id, false), ProbeNoChange, "it is out already")
	}
	now = now.Add(unreachedEjection - returnLead)
	assert.DeepEqual(t, suspects(pool, now), []identity.BackendID{id})
	assert.Equal(t, pool.RecordProbe(now, id, true), ProbeReinstated)
	assert.Assert(t, pickedAll(pool, now)[string(id)])
}

// TestAccusedIsProbed probes a back end that one other daemon did not reach, and does not
// take it out for that alone.
func TestAccusedIsProbed(t *testing.T) {
	accuser, pool := New("a"), New("a")
	accuser.Update(engines(3))
	pool.Update(engines(3))
	ticket := sent(accuser, start)
	ticket.Release(start, ResultUnreachable)
	pool.ReceiveFailureReports(start, "one", accuser.TakeFailureReports())
	assert.DeepEqual(t, suspects(pool, start), []identity.BackendID{ticket.Backend.ID})
	assert.Assert(t, pickedAll(pool, start)[string(ticket.Backend.ID)])
	pool.RecordProbe(start, ticket.Backend.ID, true)
	assert.Equal(t, len(suspects(pool, start.Add(time.Hour))), 0)
}

// TestNeedlessProbesAreRare bounds the probes of back ends that are silent and well, and
// probes those first that have been silent for longest.
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
			assert.Assert(t, !found.suspicion.quietSince.Before(pool.byID[id].suspicion.quietSince) || found.suspicion.probing)
		}
	}
	probes := 0
	const seconds = 60
	for range seconds * 20 {
		now = now.Add(50 * time.Millisecond)
		for _, id := range suspects(pool, now) {
			probes++
			pool.RecordProbe(now, id, true)
		}
	}
	assert.Assert(t, probes > 0 && float64(probes) <= seconds*silenceProbeRate+1, "%d probes", probes)
}

// TestUnreachedStaysOutWhileItIsProbed lets the probe before a back end's return take longer than its ejection lasts on: no
// request goes there meanwhile. A busy daemon's probe left a gap of some milliseconds now and then.
func TestUnreachedStaysOutWhileItIsProbed(t *testing.T) {
	pool := New("a")
	pool.Update(fleet(2))
	id := fleet(2)[0].ID
	pool.RequestProbe(start, id)
	assert.Equal(t, len(pool.TakeDueProbes(start)), 1)
	pool.RecordProbe(start, id, false)
	again := start.Add(unreachedEjection - returnLead)
	assert.Equal(t, len(pool.TakeDueProbes(again)), 1)
	for late := range 9 {
		now := again.Add(time.Duration(late) * 100 * time.Millisecond)
		assert.Assert(t, pool.byID[id].ejected(now), "%v after the probe began", now.Sub(again))
	}
	pool.RecordProbe(again.Add(800*time.Millisecond), id, true)
	assert.Assert(t, !pool.byID[id].ejected(again.Add(801*time.Millisecond)))
}
