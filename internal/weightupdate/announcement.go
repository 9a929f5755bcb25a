package weightupdate

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/port"
)

const (
	// announceInterval is the period of announcements while the plan changes or contains recent loads, and
	// idleAnnounceInterval the period otherwise.
	announceInterval     = 200 * time.Millisecond
	idleAnnounceInterval = time.Second
	// AnnounceDuration is how long a completed load is repeated in announcements. A daemon that starts in this time may
	// have copied a back-end list that predates the load.
	AnnounceDuration = 3 * time.Second
	// maxAnnouncedLoads limits the loads in one announcement, which must fit into a datagram. Each load takes up to two
	// keys of nine bytes.
	maxAnnouncedLoads = 200
	// announcementTimeout is how long after the last announcement a daemon falls back to reading the plan's row.
	announcementTimeout = 2500 * time.Millisecond
)

// Announcement is the message by which the lease holder sends its plan to the other daemons immediately. The plan's row
// is written less often. Back ends are identified by the hashes of their IDs.
type Announcement struct {
	Token   identity.FencingToken
	Loading []uint64
	// Next are the back ends that are updated next.
	Next []uint64
	// Loaded are the back ends that loaded new weights within AnnounceDuration.
	Loaded []LoadedGroup
	// LeaseVersion and LeaseValue are the lease's row, so that receivers need not read it from the table.
	LeaseVersion uint64
	LeaseValue   []byte
}

// LoadedGroup lists back ends that hold the same version of a model's weights.
type LoadedGroup struct {
	Model    identity.ModelName
	Version  uint64
	Backends []uint64
}

// apply updates the pool's routing state from an announcement.
func (a *Announcement) apply(pool *backendpool.Pool) {
	pool.SetLeaving(backendpool.Leaving{Now: a.Loading, Soon: a.Next})
	for _, group := range a.Loaded {
		pool.LearnVersions(group.Backends, group.Model, group.Version)
	}
}

// recentLoad is a completed load that is still announced.
type recentLoad struct {
	at     time.Time
	loaded Loaded
	// announcements counts the announcements that have included the load.
	announcements int
}

// announcer decides when the holder's plan is announced. It is guarded by the mutex of the Keeper that owns it.
type announcer struct {
	announce    func(Announcement)
	announcedAt time.Time
	recent      []recentLoad
	changed     bool
}

// recordLoad adds a completed load to the next announcements.
func (a *announcer) recordLoad(now time.Time, loaded Loaded) {
	a.recent = append(a.recent, recentLoad{at: now, loaded: loaded})
	a.changed = true
}

// due returns the announcement to send now, or false if none is due.
func (a *announcer) due(now time.Time, plan *Plan, held port.Row) (Announcement, bool) {
	a.recent = slices.DeleteFunc(a.recent, func(load recentLoad) bool { return now.Sub(load.at) > AnnounceDuration })
	interval := idleAnnounceInterval
	if a.changed || len(a.recent) > 0 {
		interval = announceInterval
	}
	if a.announce == nil || now.Sub(a.announcedAt) < interval {
		return Announcement{}, false
	}
	a.announcedAt = now
	a.changed = false
	return Announcement{
		Token: plan.Token, Loading: announcedKeys(plan.Loading...), Next: backendKeys(plan.Next), Loaded: a.groups(),
		LeaseVersion: held.Version, LeaseValue: held.Value,
	}, true
}

// groups returns the recent loads grouped by model and version, the least often announced first.
func (a *announcer) groups() []LoadedGroup {
	slices.SortStableFunc(a.recent, func(left, right recentLoad) int { return cmp.Compare(left.announcements, right.announcements) })
	var groups []LoadedGroup
	for index := range min(len(a.recent), maxAnnouncedLoads) {
		a.recent[index].announcements++
		loaded := a.recent[index].loaded
		at := slices.IndexFunc(groups, func(group LoadedGroup) bool {
			return group.Model == loaded.Model && group.Version == loaded.Version
		})
		if at < 0 {
			at = len(groups)
			groups = append(groups, LoadedGroup{Model: loaded.Model, Version: loaded.Version})
		}
		groups[at].Backends = append(groups[at].Backends, announcedKeys(loaded.Backend)...)
	}
	return groups
}

func backendKeys(ids []identity.BackendID) []uint64 {
	keys := make([]uint64, len(ids))
	for index, id := range ids {
		keys[index] = rendezvous.Key(string(id))
	}
	return keys
}

// announcedKeys returns the keys that identify back ends to daemons of every build: the hash of the ID with its
// incarnation, and the hash of the name for builds that don't know incarnations. Without the second key such builds
// would send requests to back ends that are loading, and route by their old weights. Back ends in Next, possibly
// hundreds, are announced by one key only.
func announcedKeys(ids ...identity.BackendID) []uint64 {
	keys := backendKeys(ids)
	for _, id := range ids {
		if id.Incarnation() > 0 {
			keys = append(keys, rendezvous.Key(string(id.Name())))
		}
	}
	return keys
}
