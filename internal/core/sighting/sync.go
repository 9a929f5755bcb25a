package sighting

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// bucketCount is the number of buckets that reports are digested in.
	bucketCount = 32
	// digestBytes is the length of one digest on the wire. Two different sets look
	// alike with a chance of 2^-32, until the next change.
	digestBytes = 4
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
		Kind: MessageVersions, Buckets: differing, Versions: e.versionsIn(differing).pack(),
	})
}

func (e *Exchange) versionsIn(buckets uint32) versions {
	found := make(versions)
	for _, known := range e.reports {
		if buckets&(1<<(known.hash%bucketCount)) != 0 {
			found[known.reference()] = known.sequence
		}
	}
	return found
}

func (e *Exchange) sendVersions(to string, message Message) {
	e.send(to, message, len(message.Versions) > datagramBytes)
}

// handleVersions sends what the other side lacks and pulls what this side lacks.
func (e *Exchange) handleVersions(now time.Time, message Message) {
	theirs := unpackVersions(message.Versions)
	own := e.versionsIn(message.Buckets)
	wanted := make(versions)
	for key, sequence := range theirs {
		if known, found := own[key]; !found || sequence > known {
			wanted[key] = known
		}
	}
	for key := range own {
		own[key] = theirs[key] // zero for what they do not have at all
	}
	e.sendNewer(message.Address, own)
	if len(wanted) >= hurriedReports {
		e.nextSync = now.Add(e.options.SyncInterval / hurriedShare)
	}
	if len(wanted) > 0 {
		e.sendVersions(message.Address, Message{Kind: MessagePull, Versions: wanted.pack()})
	}
}

// sendNewer sends what is newer than the given versions.
func (e *Exchange) sendNewer(to string, than versions) {
	var deltas []Delta
	size := 0
	for _, known := range e.sortedReports() {
		from, asked := than[known.reference()]
		fresh := asked && from == 0 && known.sequence == 0
		if !asked || from >= known.sequence && !fresh || size > repairBytes {
			continue
		}
		delta := known.delta(from, repairBytes)
		size += delta.size()
		deltas = append(deltas, delta)
	}
	if len(deltas) > 0 {
		e.send(to, Message{Kind: MessageRepair, Deltas: deltas}, size > datagramBytes)
	}
}
