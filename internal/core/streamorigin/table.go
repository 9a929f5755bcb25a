// Package streamorigin records which software version began each stream. What two versions write doesn't fit together, so a
// stream may only be continued at the version that began it.
package streamorigin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

const (
	// Retention is how long the beginning of a stream is remembered. It is longer than a stream lasts and its caller waits
	// before it continues it.
	Retention = 2 * time.Minute
	// maxStreams bounds the recorded streams; the oldest are dropped.
	maxStreams = 1 << 16
)

// Key identifies a stream.
type Key uint64

// Stream is what identifies a stream. All of it must be the same when it is continued, so that a caller that guesses an ID
// learns nothing about the streams of others.
type Stream struct {
	Service identity.ServiceName
	// Tenant is empty for anonymous requests.
	Tenant       identity.TenantName
	Host, Target string
	// Request is the ID of the request that brought the first event.
	Request identity.RequestID
}

// Key returns the stream's key.
func (s Stream) Key() Key {
	var digest xxhash.Digest
	digest.Reset()
	for _, field := range []string{string(s.Service), string(s.Tenant), s.Host, s.Target, string(s.Request)} {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	return Key(digest.Sum64())
}

// Origin is the beginning of a stream, at a time.
type Origin struct {
	// Version is the software version of the back end that began it, as listed then.
	Version identity.SoftwareVersion
	// Backend is the hash of the ID of that back end, which may have restarted as another version before. It is zero if the back end
	// has told that it is the listed incarnation: Version is certain then.
	Backend uint64
	At      time.Time
}

// NewOrigin returns the origin of a stream that a back end began. Confirmed is set if that has told its incarnation.
func NewOrigin(backend backendpool.Backend, confirmed bool, at time.Time) *Origin {
	made := &Origin{Version: backend.Software, At: at}
	if !confirmed {
		made.Backend = rendezvous.Key(string(backend.ID))
	}
	return made
}

// Confirmed reports whether the version is certain.
func (o Origin) Confirmed() bool { return o.Backend == 0 }

// Table holds the origins of streams for Retention. It is not safe for concurrent use.
type Table struct {
	origins map[Key]Origin
	// added are the keys in the order in which they were recorded.
	added []addition
}

type addition struct {
	key Key
	at  time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{origins: map[Key]Origin{}} }

// Put records the origin of a stream, which begins now unless its time is set. The first one that was recorded is kept.
func (t *Table) Put(now time.Time, key Key, origin Origin) {
	t.expire(now)
	if _, known := t.origins[key]; known {
		return
	}
	if origin.At.IsZero() {
		origin.At = now
	}
	t.origins[key] = origin
	t.added = append(t.added, addition{key: key, at: now})
	if len(t.added) > maxStreams {
		t.dropOldest()
	}
}

// Get returns the origin of a stream, or false if none is recorded.
func (t *Table) Get(now time.Time, key Key) (Origin, bool) {
	t.expire(now)
	found, known := t.origins[key]
	return found, known
}

// Since returns the streams that were recorded since a time.
func (t *Table) Since(since time.Time) map[Key]Origin {
	found := map[Key]Origin{}
	for _, each := range slices.Backward(t.added) {
		if each.at.Before(since) {
			break
		}
		found[each.key] = t.origins[each.key]
	}
	return found
}

// Len returns the number of recorded streams.
func (t *Table) Len() int { return len(t.origins) }

func (t *Table) expire(now time.Time) {
	for len(t.added) > 0 && now.Sub(t.added[0].at) > Retention {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	delete(t.origins, t.added[0].key)
	t.added = t.added[1:]
}
