package directory

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/member"
)

func described(address, zone string) member.Descriptor {
	parsed, err := member.Parse(address + " " + zone + " 2")
	if err != nil {
		panic(err)
	}
	return parsed
}

// TestDaemonDescribedAnewReplacesTheOld checks that a newer descriptor of an address replaces the former one, in
// bulletins too, and an older one doesn't.
func TestDaemonDescribedAnewReplacesTheOld(t *testing.T) {
	list := newMemberList()
	assert.Assert(t, list.add([]member.Descriptor{described("10.0.0.1:1", "a"), described("10.0.0.2:1", "a")}, false))
	assert.Assert(t, list.add([]member.Descriptor{described("10.0.0.1:1", "b")}, false))
	assert.Assert(t, !list.add([]member.Descriptor{described("10.0.0.1:1", "a")}, true))
	assert.DeepEqual(t, list.all(), []member.Descriptor{described("10.0.0.1:1", "b"), described("10.0.0.2:1", "a")})
	assert.DeepEqual(t, list.newest, []member.Descriptor{described("10.0.0.2:1", "a"), described("10.0.0.1:1", "b")})
}

// TestMemberDigestGoesByContent checks that lists with the same contents have the same digest, however they came
// about.
func TestMemberDigestGoesByContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addresses := rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
		told := rapid.SliceOf(rapid.Custom(func(t *rapid.T) member.Descriptor {
			return described(addresses.Draw(t, "address"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
		})).Draw(t, "told")
		list, anew := newMemberList(), newMemberList()
		for _, each := range told {
			list.add([]member.Descriptor{each}, false)
		}
		anew.add(list.all(), false)
		assert.Equal(t, list.digest, anew.digest)
	})
}

// TestNewerRowOfAnAddressHolds checks that of two rows with the same address the newer one is used, in whatever
// order they are read.
func TestNewerRowOfAnAddressHolds(t *testing.T) {
	older := MemberRow{Descriptor: described("10.0.0.1:1", "a"), Version: 4}
	newer := MemberRow{Descriptor: described("10.0.0.1:1", "b"), Version: 9}
	for _, rows := range [][]MemberRow{{older, newer}, {newer, older}} {
		read := Members{Rows: rows}
		assert.DeepEqual(t, read.InOrder(), []member.Descriptor{newer.Descriptor})
	}
}

// TestDaemonThatMovedCountsOnce guards against counting a daemon twice after it restarted at another address: the
// former address is removed, in bulletins too, unless another daemon uses it now. Late reports of the former
// address have no effect.
func TestDaemonThatMovedCountsOnce(t *testing.T) {
	named := func(address string, name uint64) member.Descriptor {
		made := described(address, "a")
		made.Name = name
		return made
	}
	list := newMemberList()
	list.add([]member.Descriptor{named("10.0.0.1:1", 7), named("10.0.0.2:1", 8)}, false)
	assert.Assert(t, list.add([]member.Descriptor{named("10.0.0.3:1", 7)}, false))
	moved := []member.Descriptor{named("10.0.0.2:1", 8), named("10.0.0.3:1", 7)}
	assert.DeepEqual(t, list.all(), moved)
	assert.DeepEqual(t, list.newest, moved)
	assert.Assert(t, !list.add([]member.Descriptor{named("10.0.0.1:1", 7)}, true))
	assert.Assert(t, list.add([]member.Descriptor{named("10.0.0.1:1", 9), named("10.0.0.4:1", 7)}, false))
	assert.DeepEqual(t, list.all(), []member.Descriptor{named("10.0.0.1:1", 9), named("10.0.0.2:1", 8), named("10.0.0.4:1", 7)})
	anew := newMemberList()
	anew.add(list.all(), false)
	assert.Equal(t, list.digest, anew.digest)
}
