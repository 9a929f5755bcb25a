package buffers_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/identity"
)

const kilobyte = 1 << 10

var start = time.Unix(1_000_000, 0)

// harness is a tracker with a record of its evictions.
type harness struct {
	tracker   *buffers.Tracker
	evictions []buffers.Eviction
	aborted   map[string]bool
}

func newHarness(limits buffers.Limits) *harness {
	made := &harness{aborted: map[string]bool{}}
	made.tracker = buffers.NewTracker(limits, func(eviction buffers.Eviction) { made.evictions = append(made.evictions, eviction) })
	return made
}

func (h *harness) open(name string, tenant identity.TenantName) *buffers.Exchange {
	exchange := h.tracker.Open(func() { h.aborted[name] = true })
	exchange.SetTenant(tenant)
	return exchange
}

func TestSlowestIsEvictedFirst(t *testing.T) {
	h := newHarness(buffers.Limits{Total: 100 * kilobyte})
	silent, trickling, healthy := h.open("silent", "a"), h.open("trickling", "a"), h.open("healthy", "b")
	for _, exchange := range []*buffers.Exchange{silent, trickling, healthy} {
		assert.NilError(t, exchange.Reserve(start, 30*kilobyte))
		exchange.StartWaiting(start)
	}
	now := start.Add(10 * time.Second)
	trickling.RecordProgress(kilobyte)
	healthy.RecordProgress(400 * kilobyte)

	late := h.open("late", "c")
	assert.NilError(t, late.Reserve(now, 30*kilobyte))
	assert.DeepEqual(t, h.aborted, map[string]bool{"silent": true})
	assert.Assert(t, silent.Evicted())
	assert.NilError(t, late.Reserve(now, 30*kilobyte))
	assert.DeepEqual(t, h.aborted, map[string]bool{"silent": true, "trickling": true})

	var full *buffers.FullError
	err := late.Reserve(now, 30*kilobyte)
	assert.Assert(t, errors.As(err, &full) && full.Scope == buffers.ScopeTotal, "%v", err)
	assert.Assert(t, !h.aborted["healthy"])
}

// TestLargeBodiesLeaveRoomForSmallRequests has uploads buffer all they may before any of them is
// known to be slow.
func TestLargeBodiesLeaveRoomForSmallRequests(t *testing.T) {
	h := newHarness(buffers.Limits{Total: 1000 * kilobyte})
	var err error
	for count := 0; err == nil; count++ {
		upload := h.open("upload", "a")
		upload.StartWaiting(start)
		err = upload.Reserve(start, 100*kilobyte)
		assert.Assert(t, count < 10)
	}
	for range 50 {
		assert.NilError(t, h.open("small", "a").Reserve(start, 4*kilobyte))
	}
}

func TestSlowTenantDoesNotAffectOthers(t *testing.T) {
	h := newHarness(buffers.Limits{Total: 100 * kilobyte, PerTenant: 40 * kilobyte})
	other := h.open("other", "b")
	assert.NilError(t, other.Reserve(start, 20*kilobyte))
	other.StartWaiting(start)
	now := start.Add(time.Minute)
	first := h.open("first", "a")
	assert.NilError(t, first.Reserve(now, 40*kilobyte))

	second := h.open("second", "a")
	var full *buffers.FullError
	err := second.Reserve(now, kilobyte)
	assert.Assert(t, errors.As(err, &full) && full.Scope == buffers.ScopeTenant, "%v", err)
	assert.Equal(t, len(h.aborted), 0)

	first.StartWaiting(now)
	assert.NilError(t, second.Reserve(now.Add(3*time.Second), kilobyte))
	assert.DeepEqual(t, h.aborted, map[string]bool{"first": true})
	assert.Equal(t, h.evictions[0].Scope, buffers.ScopeTenant)
}

func TestExpiredStalledExchangeIsEvicted(t *testing.T) {
	h := newHarness(buffers.Limits{})
	exchange := h.open("gone", "a")
	exchange.SetDeadline(start.Add(10 * time.Second))
	exchange.StartWaiting(start)
	stalls := 0
	exchange.OnStall(func() { stalls++ })
	for second := range 10 {
		h.tracker.Check(start.Add(time.Duration(second) * time.Second))
	}
	assert.Equal(t, stalls, 1)
	assert.Equal(t, len(h.evictions), 0)
	exchange.RecordProgress(1 << 20) // a healthy rate until well after the next check
	h.tracker.Check(start.Add(12 * time.Second))
	assert.Equal(t, len(h.evictions), 0)
	h.tracker.Check(start.Add(2 * time.Minute))
	assert.Equal(t, len(h.evictions), 1)
	assert.Equal(t, h.evictions[0].Scope, buffers.ScopeExpired)
}

// account is the reference model of an exchange.
type account struct {
	exchange *buffers.Exchange
	name     string
	tenant   identity.TenantName
	held     int64
	waiting  time.Time
	moved    int64
}

// slow reports whether the reference model permits evicting the exchange.
func (a *account) slow(now time.Time) bool {
	waited := now.Sub(a.waiting)
	return !a.waiting.IsZero() && waited >= 2*time.Second && float64(a.moved)/waited.Seconds() < 16*kilobyte
}

// TestTrackerStaysWithinItsBounds draws exchanges that reserve, release, stall and transfer bytes.
// The reported usage must equal the sum in the reference model, no bound may be exceeded, no
// exchange that makes progress may be evicted, and nothing may be rejected while a slow exchange
// could be evicted.
func TestTrackerStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := buffers.Limits{
			Total:     rapid.Int64Range(50, 400).Draw(t, "total") * kilobyte,
			PerTenant: rapid.Int64Range(20, 400).Draw(t, "tenant") * kilobyte, PerExchange: rapid.Int64Range(10, 100).Draw(t, "exchange") * kilobyte,
		}
		h, now := newHarness(limits), start
		var accounts []*account
		live := func() (all []*account) {
			for _, each := range accounts {
				if !each.exchange.Evicted() {
					all = append(all, each)
				}
			}
			return all
		}
		drawn := func() *account {
			if all := live(); len(all) > 0 {
				return rapid.SampledFrom(all).Draw(t, "account")
			}
			return nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				made := &account{name: rapid.StringN(6, 6, -1).Draw(t, "name"), tenant: rapid.SampledFrom([]identity.TenantName{"a", "b", "c"}).Draw(t, "tenant")}
				made.exchange = h.open(made.name, made.tenant)
				accounts = append(accounts, made)
			},
			"hold": func(t *rapid.T) {
				asked := drawn()
				if asked == nil {
					return
				}
				bytes := rapid.Int64Range(1, 60).Draw(t, "bytes") * kilobyte
				before := live()
				err := asked.exchange.Reserve(now, bytes)
				for _, each := range before {
					if each.exchange.Evicted() && (each == asked || !each.slow(now)) {
						t.Fatalf("%s was evicted but isn't slow", each.name)
					}
				}
				if err == nil {
					asked.held += bytes
					return
				}
				var full *buffers.FullError
				assert.Assert(t, errors.As(err, &full))
				for _, each := range live() {
					inScope := full.Scope == buffers.ScopeTotal || (full.Scope == buffers.ScopeTenant && each.tenant == asked.tenant)
					if each != asked && inScope && each.held > 0 && each.slow(now) {
						t.Fatalf("rejected (%v) although %s could be evicted", err, each.name)
					}
				}
			},
			"release": func(t *rapid.T) {
				if asked := drawn(); asked != nil {
					bytes := rapid.Int64Range(0, asked.held).Draw(t, "bytes")
					asked.exchange.Release(bytes)
					asked.held -= bytes
				}
			},
			"wait": func(*rapid.T) {
				if asked := drawn(); asked != nil {
					asked.exchange.StartWaiting(now)
					if asked.waiting.IsZero() {
						asked.waiting, asked.moved = now, 0
					}
				}
			},
			"move": func(t *rapid.T) {
				if asked := drawn(); asked != nil {
					bytes := rapid.Int64Range(1, 100*kilobyte).Draw(t, "bytes")
					asked.exchange.RecordProgress(bytes)
					asked.moved += bytes
				}
			},
			"ready": func(*rapid.T) {
				if asked := drawn(); asked != nil {
					asked.exchange.StopWaiting()
					asked.waiting = time.Time{}
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				var total int64
				tenants := map[identity.TenantName]int64{}
				for _, each := range live() {
					total += each.held
					tenants[each.tenant] += each.held
					assert.Assert(t, each.held <= limits.PerExchange)
				}
				usage := h.tracker.Usage()
				assert.Equal(t, usage.Held, total)
				assert.Assert(t, total <= limits.Total)
				for _, each := range usage.Tenants {
					assert.Equal(t, each.Held, tenants[each.Tenant])
					assert.Assert(t, each.Held <= limits.PerTenant)
				}
			},
		})
	})
}
