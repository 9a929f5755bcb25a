package revision

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// chain makes the entries and snapshots of a configuration's first revisions.
func chain(t assert.TestingT, length int) ([]Entry, []Snapshot) {
	store := NewStore(time.Time{})
	var entries []Entry
	var snapshots []Snapshot
	document := store.Document()
	for number := range length {
		change := dynamic.Change{ID: fmt.Sprint(number), Operation: dynamic.Operation{
			PutTenant: &dynamic.Tenant{Name: identity.TenantName(fmt.Sprint(number % 3)), KeyHashes: []string{fmt.Sprint(number)}},
		}}
		next, err := dynamic.Apply(document, change)
		assert.NilError(t, err)
		digest, err := dynamic.DigestOf(next)
		assert.NilError(t, err)
		entry := Entry{Revision: next.Revision, Digest: digest, Change: change}
		snapshot, err := NewSnapshot(Head{Revision: next.Revision, Digest: digest, ChangeID: change.ID}, next)
		assert.NilError(t, err)
		entries, snapshots, document = append(entries, entry), append(snapshots, snapshot), next
	}
	return entries, snapshots
}

// Whatever comes in whatever order, the store only moves forward, and what it
// gives to a peer brings that peer to the same head.
func TestStoreMovesForwardAndFeedsItsPeers(t *testing.T) {
	const length = 40
	rapid.Check(t, func(t *rapid.T) {
		entries, snapshots := chain(t, length)
		store, peer := NewStore(time.Time{}), NewStore(time.Time{})
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			before := store.Head().Revision
			first := rapid.IntRange(0, length-1).Draw(t, "first")
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				_, err := store.Install(snapshots[first], SourcePeer)
				assert.NilError(t, err)
			} else {
				last := rapid.IntRange(first, length).Draw(t, "last")
				assert.NilError(t, store.Offer(entries[first:last], SourcePeer))
			}
			head := store.Head()
			assert.Assert(t, head.Revision >= before)
			if head.Revision > 0 {
				assert.Equal(t, head, snapshots[head.Revision-1].Head)
				assert.Equal(t, store.Document().Revision, head.Revision)
			}
			if rapid.Bool().Draw(t, "feed") {
				feed(t, store, peer)
			}
		}
	})
}

func feed(t *rapid.T, store, peer *Store) {
	for peer.Head().Revision < store.Head().Revision {
		before := peer.Head().Revision
		entries, reaches := store.Since(peer.Head().Revision, 3)
		if reaches {
			assert.NilError(t, peer.Offer(entries, SourcePeer))
			assert.Assert(t, peer.Head().Revision > before, "the entries don't follow")
			continue
		}
		snapshot, err := NewSnapshot(store.Head(), store.Document())
		assert.NilError(t, err)
		_, err = peer.Install(snapshot, SourcePeer)
		assert.NilError(t, err)
	}
	assert.Equal(t, peer.Head(), store.Head())
}

func TestStoreRefusesAnEntryThatLeadsToAnotherDocument(t *testing.T) {
	entries, snapshots := chain(t, 2)
	store := NewStore(time.Time{})
	entries[1].Digest = entries[0].Digest
	var diverged *DivergedError
	assert.Assert(t, errors.As(store.Offer(entries, SourcePeer), &diverged))
	assert.Equal(t, store.Head(), snapshots[0].Head)

	snapshots[1].Document = snapshots[0].Document
	_, err := store.Install(snapshots[1], SourceMirror)
	assert.Assert(t, errors.As(err, &diverged))
	assert.Equal(t, store.Head(), snapshots[0].Head)
}

// Any two majorities share a daemon, however many daemons there are.
func TestMajoritiesOverlap(t *testing.T) {
	for daemons := 1; daemons <= 340; daemons++ {
		for counted := range daemons + 1 {
			_, majority := Tally(make([]Vote, counted), daemons)
			_, complement := Tally(make([]Vote, daemons-counted), daemons)
			assert.Assert(t, !majority || !complement, "%d and %d of %d", counted, daemons-counted, daemons)
		}
	}
}

// Every daemon's questions lead to a root, in few steps at the target size.
func TestForestIsShallow(t *testing.T) {
	for rank := range 340 {
		depth := 0
		for at, hasParent := Parent(rank); hasParent; at, hasParent = Parent(at) {
			depth++
		}
		assert.Assert(t, depth <= 3, "rank %d is %d deep", rank, depth)
	}
}

func TestConfirmationCountsOnlyForAKnownRevisionSinceTheStart(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	store := NewStore(start)
	store.Confirm(1, start.Add(time.Second))
	assert.Assert(t, store.Provisional(), "revision 1 is not here")
	store.Confirm(0, start)
	assert.Assert(t, store.Provisional(), "the confirmation is no newer than the start")
	store.Confirm(0, start.Add(2*time.Second))
	store.Confirm(0, start.Add(time.Second))
	assert.Assert(t, !store.Isolated(start.Add(6*time.Second), 4*time.Second))
	assert.Assert(t, store.Isolated(start.Add(6*time.Second+1), 4*time.Second))
}
