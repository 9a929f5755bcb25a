package scheduler

import (
	"math"
	"slices"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// bucketCount is the number of buckets of a hashRing.
const bucketCount = 64

// flatLimit is up to how many members a hashRing ranks all of them.
const flatLimit = 128

// hashRing ranks the members of a group for a key by rendezvous hashing. With
// many members it ranks buckets of members first, weighted by their sizes, and
// then the members of the best bucket, so that the work stays small.
type hashRing struct {
	count   int
	buckets [bucketCount][]*backendState
}

func bucketOf(member *backendState) int {
	return int(rendezvous.Key(string(member.backend.ID)) % bucketCount)
}

func (r *hashRing) add(member *backendState) {
	bucket := bucketOf(member)
	r.buckets[bucket] = append(r.buckets[bucket], member)
	r.count++
}

func (r *hashRing) remove(member *backendState) {
	bucket := bucketOf(member)
	before := len(r.buckets[bucket])
	r.buckets[bucket] = slices.DeleteFunc(r.buckets[bucket], func(other *backendState) bool { return other == member })
	r.count -= before - len(r.buckets[bucket])
}

// rankedCount is how many members a ranking keeps.
const rankedCount = 6

// top returns the best members for a key, best first; nil where there is none.
func (r *hashRing) top(key uint64) [rankedCount]*backendState {
	var best ranking
	if r.count <= flatLimit {
		for index := range r.buckets {
			best.addAll(key, r.buckets[index])
		}
		return best.members
	}
	best.addAll(key, r.buckets[r.bestBucket(key)])
	return best.members
}

// bestBucket ranks buckets by rendezvous hashing weighted by their sizes.
func (r *hashRing) bestBucket(key uint64) int {
	best, least := 0, math.Inf(1)
	for index := range r.buckets {
		if len(r.buckets[index]) == 0 {
			continue
		}
		uniform := float64(mix(key^mix(uint64(index+1)))>>11+1) / (1 << 53)
		if score := -math.Log(uniform) / float64(len(r.buckets[index])); score < least {
			best, least = index, score
		}
	}
	return best
}

// mix is the finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// ranking keeps the best members, best first.
type ranking struct {
	members [rankedCount]*backendState
	scores  [rankedCount]uint64
}

func (r *ranking) addAll(key uint64, members []*backendState) {
	for _, member := range members {
		score := rendezvous.Score(key, string(member.backend.ID))
		r.add(member, score)
	}
}

func (r *ranking) add(member *backendState, score uint64) {
	for place := range r.members {
		if r.members[place] == nil {
			r.members[place], r.scores[place] = member, score
			return
		}
		if score > r.scores[place] {
			r.members[place], member = member, r.members[place]
			r.scores[place], score = score, r.scores[place]
		}
	}
}
