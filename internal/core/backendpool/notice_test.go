package backendpool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// noticeMachine plays a pool whose rows come, go and lie, and back ends that say themselves what they want. Its
// model is what each life has said, whatever became of its row.
type noticeMachine struct {
	pool   *Pool
	now    time.Time
	listed []Backend
	drains map[identity.BackendID]bool
	// backsOff is until when lives want no requests, and tried the request that finds out after it, where one is under
	// way that has not been answered.
	backsOff   map[identity.BackendID]time.Time
	recovering map[identity.BackendID]bool
	tried      map[identity.BackendID]*Ticket
	tickets    []*Ticket
}

// lifeOf draws one of some lives of some back ends.
func lifeOf(t *rapid.T) identity.BackendID {
	return drawLife(t, rapid.SampledFrom([]identity.BackendName{"a", "b", "c", "d"}).Draw(t, "name"))
}

// drawLife draws a life of a back end. Half of them tell their starts, always, and by clocks so far ahead that all that
// is said was said before: lives that tell them in part, and those that are heard before they are listed, have tests
// of their own.
func drawLife(t *rapid.T, name identity.BackendName) identity.BackendID {
	if name > "b" {
		return identity.NewBackendID(name, 0)
	}
	ahead := start.Add(1000 * time.Hour).UnixMilli()
	return identity.NewBackendID(name, identity.Incarnation(ahead+rapid.Int64Range(1, 3).Draw(t, "life")))
}

// List replaces the list by rows of which none, or one in four, says that its back end drains.
func (m *noticeMachine) List(t *rapid.T) {
	m.listed = nil
	for _, name := range []identity.BackendName{"a", "b", "c", "d"} {
		if rapid.IntRange(0, 4).Draw(t, "gone") == 0 {
			continue
		}
		id := drawLife(t, name)
		m.listed = append(m.listed, Backend{
			ID: id, Service: "llm", Address: string(name) + ":80", Zone: "a", Slots: 4,
			Draining: rapid.IntRange(0, 3).Draw(t, "row drains") == 0, Weights: map[identity.ModelName]uint64{"m": 1},
		})
	}
	m.pool.Update(m.listed)
}

// Drains lets a life say that it drains, in the answer to a request or in another one.
func (m *noticeMachine) Drains(t *rapid.T) {
	notice := Notice{Draining: true}
	id := lifeOf(t)
	news := m.pool.RecordNotice(m.now, id, notice)
	assert.Equal(t, news, !m.drains[id])
	m.drains[id] = true
}

// Answer is the head of an answer to a request under way, in which the back end may say that it drains or for how
// long it wants no requests.
func (m *noticeMachine) Answer(t *rapid.T) {
	if len(m.tickets) == 0 {
		t.Skip("nothing is under way")
	}
	ticket := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	id := ticket.Backend.ID
	notice := Notice{Draining: rapid.IntRange(0, 4).Draw(t, "drains") == 0}
	took := rapid.Bool().Draw(t, "took")
	if !took && rapid.Bool().Draw(t, "asks for none") {
		notice.RetryAfter = time.Duration(rapid.IntRange(1, 3000).Draw(t, "retry after")) * time.Millisecond
	}
	wanted := !m.now.Before(m.backsOff[id])
	reception := AdmissionUnknown
	if took {
		reception = AdmissionAccepted
	}
	news := ticket.RecordResponseHeader(m.now, notice, reception).NoticeIsNew
	assert.Equal(t, news, (notice.Draining && !m.drains[id]) || (notice.RetryAfter > 0 && wanted))
	m.drains[id] = m.drains[id] || notice.Draining
	if until := m.now.Add(notice.RetryAfter); notice.RetryAfter > 0 {
		m.recovering[id] = true
		if until.After(m.backsOff[id]) {
			m.backsOff[id] = until
		}
	}
	if m.tried[id] == ticket {
		delete(m.tried, id)
		if took && !m.now.Before(m.backsOff[id]) {
			delete(m.recovering, id)
		}
	}
}

// SaysNothing is an answer in which a life says nothing: that takes nothing back.
func (m *noticeMachine) SaysNothing(t *rapid.T) {
	assert.Assert(t, !m.pool.RecordNotice(m.now, lifeOf(t), Notice{}))
}

// TakeOut takes back ends out of use on purpose, which is given up where no others are left.
func (m *noticeMachine) TakeOut(t *rapid.T) {
	var keys []uint64
	for _, backend := range m.listed {
		if rapid.Bool().Draw(t, "out") {
			keys = append(keys, rendezvous.Key(string(backend.ID)))
		}
	}
	m.pool.SetLeaving(Leaving{Now: keys})
}

// mayServe are the listed back ends that may get requests.
func (m *noticeMachine) mayServe() []identity.BackendID {
	var ids []identity.BackendID
	for _, backend := range m.listed {
		if !backend.Draining && !m.drains[backend.ID] && !m.now.Before(m.backsOff[backend.ID]) {
			ids = append(ids, backend.ID)
		}
	}
	return ids
}

// Pick takes a place for a request.
func (m *noticeMachine) Pick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
	query := Query{Service: "llm", Trial: rapid.IntRange(0, 5).Draw(t, "trial") == 0}
	if rapid.Bool().Draw(t, "prompt") {
		query.Model, query.Home = "m", uint64(rapid.IntRange(1, 5).Draw(t, "home"))
	}
	ticket, shortage := m.pool.PickOrExplain(m.now, query)
	may := m.mayServe()
	free := slices.DeleteFunc(slices.Clone(may), func(id identity.BackendID) bool { return m.tried[id] != nil })
	if ticket == nil {
		assert.Assert(t, len(free) == 0 || query.Trial, "none of %v will do: %+v", free, shortage)
		assert.Assert(t, query.Trial || (shortage.Busy > 0) == (len(may) > 0), "%+v, though %v may serve", shortage, may)
		return
	}
	id := ticket.Backend.ID
	assert.Assert(t, slices.Contains(free, id), "%s is picked of %v", id, free)
	if m.recovering[id] {
		m.tried[id] = ticket
	}
	m.tickets = append(m.tickets, ticket)
}

// Release ends a request.
func (m *noticeMachine) Release(t *rapid.T) {
	if len(m.tickets) == 0 {
		t.Skip("nothing is under way")
	}
	index := rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")
	if id := m.tickets[index].Backend.ID; m.tried[id] == m.tickets[index] {
		delete(m.tried, id)
	}
	m.tickets[index].Release(m.now, Result(rapid.IntRange(int(ResultServed), int(ResultAbandoned)).Draw(t, "result")))
	m.tickets = slices.Delete(m.tickets, index, index+1)
}

// Check compares what others are told of the back ends, and when the first is back where all back off.
func (m *noticeMachine) Check(t *rapid.T) {
	stay, first, anyFree := 0, time.Time{}, false
	for _, backend := range m.pool.Backends() {
		row := m.listed[slices.IndexFunc(m.listed, func(listed Backend) bool { return listed.ID == backend.ID })]
		assert.Equal(t, backend.Draining, row.Draining || m.drains[backend.ID])
		if backend.Draining {
			continue
		}
		stay++
		until := m.backsOff[backend.ID]
		anyFree = anyFree || !m.now.Before(until)
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	assert.Equal(t, len(m.pool.KeysOf("llm", "")), stay)
	if anyFree {
		first = time.Time{}
	}
	assert.Equal(t, m.pool.NextAvailableAt(m.now, "llm"), first)
}

// TestWhatLivesSayHolds draws lists and answers in any order: a life that has said that it drains gets no request,
// one that has asked for none gets none until then and one at a time until it takes one, through new readings of the
// list, rows that lapse and come back, and where no others are left.
func TestWhatLivesSayHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &noticeMachine{
			pool: New("a"), now: start, drains: map[identity.BackendID]bool{}, backsOff: map[identity.BackendID]time.Time{},
			recovering: map[identity.BackendID]bool{}, tried: map[identity.BackendID]*Ticket{},
		}
		machine.List(t)
		t.Repeat(rapid.StateMachineActions(machine))
	})
}

// TestUnlistedLivesAreForgotten bounds what is remembered of lives that are not listed; the listed ones stay.
func TestUnlistedLivesAreForgotten(t *testing.T) {
	pool := New("a")
	pool.Update(engines(1))
	pool.RecordNotice(start, "engine-0", Notice{Draining: true})
	for number := range maximumUnlistedSaid + 10 {
		pool.RecordNotice(start.Add(time.Duration(number+1)*time.Second), identity.BackendID(fmt.Sprint("gone-", number)), Notice{Draining: true})
	}
	assert.Equal(t, len(pool.said), 1+maximumUnlistedSaid)
	assert.Assert(t, pool.Pick(start, Query{Service: "llm"}) == nil)
}

// TestLifeThatIsToldInPartGoesOnDraining changes between rows with a back end's start and rows without it, as where
// daemons of builds that know no lives read the list for a while: what the life has said goes on holding, and ends with a
// start that came after it was said.
//
// A back end that had said that it drains got requests 1.7 s later from three daemons at once, when a daemon of this
// build began to read the list and the back end's name got its start.
func TestLifeThatIsToldInPartGoesOnDraining(t *testing.T) {
	started := identity.Incarnation(start.Add(-time.Hour).UnixMilli())
	restarted := identity.Incarnation(start.Add(5 * time.Second).UnixMilli())
	list := func(incarnation identity.Incarnation) []Backend {
		return []Backend{{ID: identity.NewBackendID("b", incarnation), Service: "s", Address: "10.0.0.1:80"}}
	}
	pool := New("a")
	pool.Update(list(0))
	pool.RecordNotice(start, "b", Notice{Draining: true, RetryAfter: time.Second})
	for _, incarnation := range []identity.Incarnation{started, 0, started} {
		pool.Update(list(incarnation))
		assert.Assert(t, pool.Pick(start.Add(2*time.Second), Query{Service: "s"}) == nil, "incarnation %d", incarnation)
	}
	pool.Update(list(restarted))
	assert.Assert(t, pool.Pick(start.Add(6*time.Second), Query{Service: "s"}) != nil)
	pool.Update(list(0))
	assert.Assert(t, pool.Pick(start.Add(7*time.Second), Query{Service: "s"}) != nil)

	pool = New("a")
	pool.Update(list(started))
	pool.RecordNotice(start, identity.NewBackendID("b", started), Notice{Draining: true})
	pool.Update(list(0))
	assert.Assert(t, pool.Pick(start.Add(time.Second), Query{Service: "s"}) == nil)
	pool.Update(nil)
	pool.Update(list(0))
	assert.Assert(t, pool.Pick(start.Add(time.Second), Query{Service: "s"}) == nil, "its row had lapsed")
}

// TestLifeIsHeardBeforeItIsListed lets a back end start again and ask for none, or drain, before its row tells of the
// next life: the daemon takes the word for the earlier life's. It holds for the life that said so; what the earlier one
// said itself doesn't.
//
// In the soak a back end that had asked for none for 3 s got eight requests of one daemon 0.7 s later, once its row told
// of the life that had asked.
func TestLifeIsHeardBeforeItIsListed(t *testing.T) {
	life := func(started time.Time) Backend {
		return Backend{ID: identity.NewBackendID("b", identity.Incarnation(started.UnixMilli())), Service: "s", Address: "10.0.0.1:80"}
	}
	first, next := life(start.Add(-time.Hour)), life(start.Add(time.Second))
	for _, example := range []struct {
		name   string
		notice Notice
		saidAt time.Time
		holds  bool
	}{
		{"the next life asks for none", Notice{RetryAfter: 3 * time.Second}, start.Add(1500 * time.Millisecond), true},
		{"the first life asked for none", Notice{RetryAfter: 5 * time.Second}, start, false},
		{"the next life drains", Notice{Draining: true}, start.Add(1500 * time.Millisecond), true},
		{"the first life drained", Notice{Draining: true}, start, false},
	} {
		t.Run(example.name, func(t *testing.T) {
			pool := New("a")
			pool.Update([]Backend{first})
			pool.RecordNotice(example.saidAt, first.ID, example.notice)
			pool.Update([]Backend{next})
			picked := pool.Pick(start.Add(2*time.Second), Query{Service: "s"}) != nil
			assert.Equal(t, picked, !example.holds)
			assert.Assert(t, example.notice.Draining || pool.Pick(start.Add(10*time.Second), Query{Service: "s"}) != nil)
		})
	}
}
