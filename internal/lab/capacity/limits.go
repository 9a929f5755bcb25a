package capacity

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/share"
	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
)

// measureLimits measures the division of tenants' limits.
func (m *measurement) measureLimits() {
	var members []identity.DaemonID
	for index := range m.sizes.Daemons {
		members = append(members, daemonName(index))
	}
	slopes := &m.slopes.Limits
	sizes := m.growing(m.sizes.Tenants)
	slopes.TickSeconds = m.watch.over(tenantsWord, sizes, func(size int) func() {
		return newLendingDaemon(members, size).tick
	})
	slopes.MemoryBytes = heapOver(tenantsWord, sizes, func(size int) *lendingDaemon { return newLendingDaemon(members, size) })
	ask, err := msgpack.Marshal(share.Message{Asks: []share.Ask{{
		Tenant: tenantName(0), Number: 1, Wanted: share.Amount{TokensPerSecond: 100.5, Concurrent: 2},
	}}})
	m.note(err)
	m.measureAsks(members)
	slopes.AskBytes = projection.Constant(bytesUnit, float64(len(ask)))
}

// askingTime is the simulated time in which asks are counted, after as long again.
const askingTime = 5 * time.Second

// measureAsks lets one daemon see its part of the requests, each of another tenant
// and with the answer's tokens only, and counts the asks. No grants come, so that
// they are an upper bound; at an equal part of 1/340 a grant is a small part too.
func (m *measurement) measureAsks(members []identity.DaemonID) {
	daemon := newLendingDaemon(members, m.sizes.Tenants)
	perTick := m.sizes.RequestsPerSecond / float64(m.sizes.Daemons) * share.TickInterval.Seconds()
	tokens := int(m.sizes.TokensPerSecond / m.sizes.RequestsPerSecond)
	due, requests := 0.0, 0
	run := func() (asks int) {
		for end := daemon.now.Add(askingTime); daemon.now.Before(end); {
			daemon.now = daemon.now.Add(share.TickInterval)
			for due += perTick; due >= 1; due-- {
				requests++
				tenant := tenantName(requests * spreadTenants % m.sizes.Tenants)
				daemon.sharer.Observe(daemon.now, tenant, tokens, 1)
			}
			shares, outgoing := daemon.sharer.Tick(daemon.now)
			if shares != nil {
				daemon.policy.SetTenants(daemon.now, shares)
			}
			asks += len(outgoing)
		}
		return asks
	}
	run()
	used := processorTime()
	asks := run()
	core := (processorTime() - used).Seconds() / askingTime.Seconds()
	m.slopes.Limits.AskingCore = projection.Constant(coreUnit, core)
	m.slopes.Limits.AsksPerSecond = projection.Constant(perSecond, float64(asks)/askingTime.Seconds())
}

// spreadTenants steps through the tenants so that none comes again soon.
const spreadTenants = 7919

// lendingDaemon is asked for a part of another tenant's limits before each tick,
// so that one share changes in each.
type lendingDaemon struct {
	sharer *share.Sharer
	policy *scheduler.Scheduler
	other  identity.DaemonID
	now    time.Time
	count  int
	size   int
}

func newLendingDaemon(members []identity.DaemonID, tenants int) *lendingDaemon {
	made := &lendingDaemon{
		sharer: share.New(members[0], start), policy: scheduler.New(scheduler.Options{}),
		other: members[1], now: start.Add(time.Minute), size: tenants,
	}
	made.sharer.SetMembers(members)
	limits := tenantLimits(tenants)
	made.sharer.SetLimits(limits)
	made.policy.SetTenants(start, limits)
	return made
}

func (d *lendingDaemon) tick() {
	d.now = d.now.Add(share.TickInterval)
	d.count++
	d.sharer.Handle(d.now, d.other, share.Message{Asks: []share.Ask{{
		Tenant: tenantName(d.count % d.size), Number: uint64(d.count), Wanted: share.Amount{TokensPerSecond: 1},
	}}})
	if shares, _ := d.sharer.Tick(d.now); shares != nil {
		d.policy.SetTenants(d.now, shares)
	}
}
