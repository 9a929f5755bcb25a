package share

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

const tenant = identity.TenantName("club")

// node is one daemon with the share that it has in force.
type node struct {
	id      identity.DaemonID
	sharer  *Sharer
	offset  time.Duration
	inForce Amount
	next    time.Time
}

// network holds daemons and the messages between them.
type network struct {
	now     time.Time
	limit   scheduler.TenantLimit
	members []identity.DaemonID
	nodes   []*node
	mail    []letter
	// old are all messages ever sent, for those that come late or again.
	old []letter
}

type letter struct {
	from, to identity.DaemonID
	message  Message
}

func newNetwork(daemons int, limit scheduler.TenantLimit, offset func() time.Duration) *network {
	n := &network{now: time.Unix(100_000, 0), limit: limit}
	for index := range daemons {
		n.members = append(n.members, identity.DaemonID(fmt.Sprint("d", index)))
	}
	for _, id := range n.members {
		started := &node{id: id, offset: offset(), next: n.now}
		n.nodes = append(n.nodes, started)
		n.start(started)
	}
	return n
}

// start begins a daemon's life, which knows nothing of an earlier one.
func (n *network) start(started *node) {
	started.sharer = New(started.id, n.clock(started))
	started.sharer.SetMembers(n.members)
	started.sharer.SetLimits([]scheduler.TenantLimit{n.limit})
	n.tick(started)
}

func (n *network) clock(of *node) time.Time { return n.now.Add(of.offset) }

func (n *network) tick(ticked *node) {
	limits, outgoing := ticked.sharer.Tick(n.clock(ticked))
	if limits != nil {
		ticked.inForce = Amount{limits[0].TokensPerSecond, max(0, limits[0].ConcurrentRequests)}
	}
	for _, sent := range outgoing {
		n.mail = append(n.mail, letter{from: ticked.id, to: sent.To, message: sent.Message})
	}
	ticked.next = n.now.Add(TickInterval)
}

// deliverAll empties the mail; what does not arrive may still come late.
func (n *network) deliverAll(arrives func() bool) {
	for _, sent := range n.mail {
		n.old = append(n.old, sent)
		if arrives() {
			n.deliver(sent)
		}
	}
	n.mail = nil
}

func (n *network) deliver(delivered letter) {
	for _, receiver := range n.nodes {
		if receiver.id == delivered.to {
			receiver.sharer.Handle(n.clock(receiver), delivered.from, delivered.message)
		}
	}
}

// advance moves the time on, a tick at most, and ticks the daemons that are due.
func (n *network) advance(by time.Duration) {
	end := n.now.Add(by)
	for _, due := range n.nodes {
		if !due.next.After(end) {
			n.now = due.next
			n.tick(due)
		}
	}
	n.now = end
}

func (n *network) total() Amount {
	var sum Amount
	for _, counted := range n.nodes {
		sum = sum.plus(counted.inForce)
	}
	return sum
}

// TestSharesNeverExceedTheLimit loses, delays, repeats and reorders messages and
// restarts daemons whose clocks do not agree.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := scheduler.TenantLimit{
			Tenant: tenant, TokensPerSecond: 1000, ConcurrentRequests: rapid.IntRange(1, 20).Draw(t, "concurrency"),
		}
		n := newNetwork(rapid.IntRange(1, 5).Draw(t, "daemons"), limit, func() time.Duration {
			return time.Duration(rapid.IntRange(0, 10_000).Draw(t, "offset")) * time.Millisecond
		})
		pick := func(t *rapid.T) *node { return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "daemon")] }
		t.Repeat(map[string]func(*rapid.T){
			// One daemon gets all the requests; its messages arrive, or some of them.
			"rush": func(t *rapid.T) {
				asking := pick(t)
				lossy := rapid.Bool().Draw(t, "lossy")
				for range rapid.IntRange(1, 12).Draw(t, "rounds") {
					asking.sharer.Observe(n.clock(asking), tenant, 500, 30)
					n.advance(TickInterval)
					n.deliverAll(func() bool { return !lossy || rapid.Bool().Draw(t, "arrives") })
				}
			},
			"deliver late": func(t *rapid.T) {
				if len(n.old) > 0 {
					n.deliver(rapid.SampledFrom(n.old[rapid.SampledFrom([]int{0, max(0, len(n.old)-6)}).Draw(t, "oldest"):]).Draw(t, "letter"))
				}
			},
			"advance": func(t *rapid.T) {
				n.advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"advance long": func(t *rapid.T) {
				for range rapid.IntRange(1, 25).Draw(t, "ticks") {
					n.advance(TickInterval)
				}
			},
			"restart": func(t *rapid.T) { n.start(pick(t)) },
			"": func(t *rapid.T) {
				sum := n.total()
				assert.Assert(t, sum.TokensPerSecond <= limit.TokensPerSecond+1e-6, "%f tokens a second in force", sum.TokensPerSecond)
				assert.Assert(t, sum.Concurrent <= limit.ConcurrentRequests, "%d concurrent in force", sum.Concurrent)
			},
		})
	})
}

// TestDemandMovesShares gives one daemon of four all the requests. It gets what
// the others may lend, and they get it back afterwards.
func TestDemandMovesShares(t *testing.T) {
	limit := scheduler.TenantLimit{Tenant: tenant, TokensPerSecond: 1000, ConcurrentRequests: 16}
	n := newNetwork(4, limit, func() time.Duration { return 0 })
	step := func(tokens int) {
		if tokens > 0 {
			n.nodes[0].sharer.Observe(n.now, tenant, tokens, 16)
		}
		n.advance(TickInterval)
		n.deliverAll(func() bool { return true })
	}
	for range 60 {
		step(100)
	}
	assert.Assert(t, n.nodes[0].inForce.TokensPerSecond >= 600, "%f tokens a second", n.nodes[0].inForce.TokensPerSecond)
	assert.Assert(t, n.nodes[0].inForce.Concurrent >= 9, "%d concurrent", n.nodes[0].inForce.Concurrent)
	for range 150 {
		step(0)
	}
	assert.Equal(t, n.nodes[1].inForce, Amount{250, 4})
	assert.Equal(t, len(n.nodes[0].sharer.accounts), 0)
}

// TestSmallLimitMovesToWhoNeedsIt gives every request to one daemon in turn. Each
// gets the tenant's only place, whichever daemon owns it.
func TestSmallLimitMovesToWhoNeedsIt(t *testing.T) {
	n := newNetwork(3, scheduler.TenantLimit{Tenant: tenant, ConcurrentRequests: 1}, func() time.Duration { return 0 })
	for _, wanting := range n.nodes {
		for range 100 {
			wanting.sharer.Observe(n.now, tenant, 10, 1)
			n.advance(TickInterval)
			n.deliverAll(func() bool { return true })
		}
		assert.Equal(t, wanting.inForce.Concurrent, 1, "daemon %s", wanting.id)
	}
}
