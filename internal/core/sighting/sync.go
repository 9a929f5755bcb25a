package sighting

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

const (
	// bucketCount is the number of buckets that reports are digested in.
	bucketCount = 32
	// digestBytes is the length of one digest on the wire. Two different sets look
	// alike with a chance of 2^-32, until the next change.
	digestBytes = 4
	// versionBytes estimates the encoded size of a version without its name.
	versionBytes = 15
	// repairBytes bounds the deltas in one answer; the next exchange brings more.
	repairBytes = 128 << 10
	// hurriedReports is how many reports must be pulled at once to make the next
	// comparison come soon: this daemon has just started, or a partition is over.
	hurriedReports = 8
	// hurriedShare is by how much it then comes sooner.
	hurriedShare = 4
)

// mix combines two numbers into an evenly spread one (the finalizer of
// MurmurHash3).
func mix(left, right uint64) uint64 {
	mixed := left ^ (right * 0x9e3779b97f4a7c15)
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return mixed
}

func (e *Exchange) digests() []byte {
	var sums [bucketCount]uint64
	for _, known := range e.reports {
		sums[known.hash%bucketCount] ^= mix(mix(known.hash, uint64(known.epoch)), known.sequence)
	}
	packed := make([]byte, 0, bucketCount*digestBytes)
	for _, sum := range sums {
		packed = binary.BigEndian.AppendUint32(packed, uint32(sum))
	}
	return packed
}

// tickSync compares digests with a random daemon, mostly of the own zone.
func (e *Exchange) tickSync(now time.Time) {
	if now.Before(e.nextSync) {
		return
	}
	half := e.options.SyncInterval / 2
	e.nextSync = now.Add(half + time.Duration(e.random.Int64N(int64(e.options.SyncInterval))))
	e.syncCount++
	candidates := e.mates
	if len(candidates) == 0 || len(e.others) > 0 && e.syncCount%e.options.CrossZoneEvery == 0 {
		candidates = e.others
	}
	if len(candidates) == 0 {
		e.nextSync = now.Add(e.options.HurriedGossip)
		return
	}
	target := candidates[e.random.IntN(len(candidates))]
	e.send(target.Address, Message{Kind: MessageDigests, Digests: e.digests()}, false)
}

func (e *Exchange) handleDigests(message Message) {
	own := e.digests()
	if len(message.Digests) != len(own) {
		return
	}
	var differing uint32
	for bucket := range bucketCount {
		start, end := bucket*digestBytes, (bucket+1)*digestBytes
		if !slices.Equal(own[start:end], message.Digests[start:end]) {
			differing |= 1 << bucket
		}
	}
	if differing == 0 {
		return
	}
	e.sendVersions(message.Address, Message{
		Kind: MessageVersions, Buckets: differing, Versions: e.versionsIn(differing),
	})
}

func (e *Exchange) versionsIn(buckets uint32) []Version {
	var versions []Version
	for _, known := range e.reports {
		if buckets&(1<<(known.hash%bucketCount)) != 0 {
			versions = append(versions, known.version())
		}
	}
	slices.SortFunc(versions, func(left, right Version) int { return cmp.Compare(left.Watcher, right.Watcher) })
	return versions
}

func (e *Exchange) sendVersions(to string, message Message) {
	size := 0
	for _, version := range message.Versions {
		size += versionBytes + len(version.Watcher)
	}
	e.send(to, message, size > datagramBytes)
}

// handleVersions sends what the other side lacks and pulls what this side lacks.
func (e *Exchange) handleVersions(now time.Time, message Message) {
	theirs := make(map[identity.DaemonID]Version, len(message.Versions))
	var wanted []Version
	for _, version := range message.Versions {
		theirs[version.Watcher] = version
		if own := e.versionOf(version.Watcher); e.wants(own, version) {
			wanted = append(wanted, own)
		}
	}
	var lacked []Version
	for _, own := range e.versionsIn(message.Buckets) {
		version, found := theirs[own.Watcher]
		if !found {
			version = Version{Watcher: own.Watcher}
		}
		lacked = append(lacked, version)
	}
	e.sendNewer(message.Address, lacked)
	if len(wanted) >= hurriedReports {
		e.nextSync = now.Add(e.options.SyncInterval / hurriedShare)
	}
	if len(wanted) > 0 {
		e.sendVersions(message.Address, Message{Kind: MessagePull, Versions: wanted})
	}
}

// wants tells whether another's version of a live member's report is newer.
func (e *Exchange) wants(own, other Version) bool {
	if _, live := e.members[own.Watcher]; !live {
		return false
	}
	if other.Epoch != own.Epoch {
		return other.Epoch > own.Epoch
	}
	return other.Sequence > own.Sequence
}

func (e *Exchange) versionOf(watcher identity.DaemonID) Version {
	if known := e.reports[watcher]; known != nil {
		return known.version()
	}
	return Version{Watcher: watcher}
}

// sendNewer sends what is newer than the given versions.
func (e *Exchange) sendNewer(to string, versions []Version) {
	var deltas []Delta
	size := 0
	for _, version := range versions {
		known := e.reports[version.Watcher]
		if known == nil || !known.newer(version) || size > repairBytes {
			continue
		}
		from := version.Sequence
		if version.Epoch != known.epoch {
			from = 0
		}
		delta := known.delta(from, repairBytes)
		size += delta.size()
		deltas = append(deltas, delta)
	}
	if len(deltas) > 0 {
		e.send(to, Message{Kind: MessageDeltas, Deltas: deltas}, size > datagramBytes)
	}
}
