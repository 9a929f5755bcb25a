package membership_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
)

// envelopeBytes is room for what a transport puts around a message.
const envelopeBytes = 8

var start = time.Unix(1_800_000_000, 0)

func newNode() *membership.Node {
	self := membership.Identity{ID: "self", Zone: "zone-0", Address: "10.0.0.1:1", Incarnation: 1}
	return membership.New(start, self, nil, rand.New(rand.NewPCG(1, 1)), membership.DefaultOptions())
}

// advance ticks the node through time without a gap that counts as a pause.
func advance(node *membership.Node, from time.Time, length time.Duration) time.Time {
	end := from.Add(length)
	for now := from; now.Before(end); now = now.Add(400 * time.Millisecond) {
		node.Tick(now)
	}
	return end
}

func TestForgottenMemberComesBackOnlyWithANewIncarnation(t *testing.T) {
	node := newNode()
	gone := membership.Member{ID: "gone", Zone: "zone-0", Address: "10.0.0.2:1", Incarnation: 5}
	stale := membership.Message{Members: []membership.Member{gone}}
	node.Handle(start, "other", "10.0.0.3:1", stale)
	now := advance(node, start, membership.DefaultOptions().DeadRetention+time.Minute)
	_, found := node.Member("gone")
	assert.Assert(t, !found, "not forgotten")

	node.Handle(now, "other", "10.0.0.3:1", stale)
	_, found = node.Member("gone")
	assert.Assert(t, !found, "a stale fact brought it back")

	gone.Incarnation = 6
	node.Handle(now, "other", "10.0.0.3:1", membership.Message{Members: []membership.Member{gone}})
	_, found = node.Member("gone")
	assert.Assert(t, found)
}

// TestEarlierLifeOfTheSameIncarnationIsRefuted stands for a clock that was set
// back: the revision of the earlier life must not count for this one.
func TestEarlierLifeOfTheSameIncarnationIsRefuted(t *testing.T) {
	node := newNode()
	earlier := node.Self()
	earlier.Revision = 6
	node.Handle(start, "other", "10.0.0.3:1", membership.Message{Members: []membership.Member{earlier}})
	assert.Assert(t, node.Self().Incarnation > earlier.Incarnation)
	assert.Equal(t, node.Self().Revision, identity.Revision(0))
}

// TestOldEndsAreNotTakenUp keeps daemons from handing an old death on for ever,
// each remembering it anew.
func TestOldEndsAreNotTakenUp(t *testing.T) {
	node := newNode()
	long := start.Add(-membership.DefaultOptions().DeadRetention - time.Minute).Unix()
	node.Handle(start, "other", "10.0.0.3:1", membership.Message{
		Members:  []membership.Member{{ID: "gone", Incarnation: 5, State: membership.StateDead, Since: long}},
		Backends: []membership.BackendFact{{Backend: "engine", Version: 1, Leaving: true, Since: long}},
	})
	_, found := node.Member("gone")
	assert.Assert(t, !found)
	assert.Equal(t, len(node.BackendFacts()), 0)
}

// TestBackendFactsMergeToTheNewestInAnyOrder includes a leave and a return of the
// same version and revision: the leave wins.
func TestBackendFactsMergeToTheNewestInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) membership.BackendFact {
			return membership.BackendFact{
				Backend: "engine", Version: rapid.Uint64Range(1, 3).Draw(t, "version"),
				Revision: identity.Revision(rapid.Uint64Range(0, 2).Draw(t, "revision")),
				Leaving:  rapid.Bool().Draw(t, "leaving"), Since: start.Unix(),
			}
		}), 1, 6).Draw(t, "facts")
		node, newest := newNode(), facts[0]
		for _, fact := range facts {
			node.Handle(start, "other", "10.0.0.3:1", membership.Message{Backends: []membership.BackendFact{fact}})
			if newer(fact, newest) {
				newest = fact
			}
		}
		assert.Assert(t, slices.Equal(node.BackendFacts(), []membership.BackendFact{newest}), "%v", node.BackendFacts())
	})
}

// TestEveryMessageFitsADatagram fills a node with facts of the largest sizes.
func TestEveryMessageFitsADatagram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		longest := rapid.SampledFrom([]int{0, 60}).Draw(t, "longest")
		name := func(label string) string {
			return strings.Repeat("n", rapid.IntRange(0, longest).Draw(t, label)) + rapid.StringMatching("[a-z]{4}").Draw(t, label)
		}
		node := newNode()
		node.SetRevision(identity.Revision(rapid.Uint64().Draw(t, "revision")))
		node.SetZoneLoad(rapid.Uint64().Draw(t, "version"), make([]byte, rapid.IntRange(0, membership.MaximumLoadBytes).Draw(t, "load")))
		var facts membership.Message
		for range rapid.IntRange(1, 60).Draw(t, "members") {
			facts.Members = append(facts.Members, membership.Member{
				ID: identity.DaemonID(name("id")), Zone: identity.Zone(name("zone")), Address: name("address"),
				Incarnation: math.MaxUint64 - identity.Incarnation(rapid.Uint8().Draw(t, "incarnation")),
				State:       membership.State(rapid.IntRange(0, 1).Draw(t, "state")),
				Revision:    math.MaxUint64,
				Since:       math.MaxInt64,
			})
			facts.Backends = append(facts.Backends, membership.BackendFact{
				Backend: identity.BackendID(name("backend")), Version: math.MaxUint64,
				Revision: math.MaxUint64, Leaving: true, Since: start.Unix(),
			})
		}
		actions := node.Handle(start, "other", "10.0.0.3:1", facts)
		ping := membership.Message{Kind: membership.MessagePing, Target: "self", Sequence: 1 << 63}
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
			actions = append(actions, node.Tick(now)...)
			actions = append(actions, node.Handle(now, "other", "10.0.0.3:1", ping)...)
		}
		for _, action := range actions {
			sending, is := action.(membership.Send)
			if !is || sending.Reliable {
				continue
			}
			body, err := datagram.Encode(sending.Message)
			assert.NilError(t, err)
			assert.Assert(t, len(body)+envelopeBytes <= datagram.MaximumBodyBytes, "%d bytes", len(body))
		}
	})
}
