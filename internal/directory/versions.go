package directory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/relay"
)

// SeenVersion is a named version of a model's weights, and a time of the store's clock at which it was not named
// yet.
type SeenVersion struct {
	Model      identity.ModelName
	Version    uint64
	StoreClock time.Duration
}

// leastStoreClock replaces a store clock of zero, which would mean unknown, if the store's clock may have just
// started.
const leastStoreClock = time.Nanosecond

// guessedNaming returns the assumed naming of a version that this daemon found at its start and for which no daemon
// reports a time. It is relative to the start of the process, not to the read that found it, however long that
// took: the others judge this daemon from its start on.
func (d *Directory) guessedNaming(version uint64) relay.NamedVersion {
	return relay.NamedVersion{Version: version, NamedAfter: d.options.GuessedNaming, Guessed: true}
}

// namedSinceConfirmed returns the naming of a version that this daemon has just learnt of, unless another daemon
// reports more: it was not named at the last confirmation. Without a confirmation it is a guess.
func (d *Directory) namedSinceConfirmed(version uint64) relay.NamedVersion {
	confirmed := d.ConfirmedAt()
	if confirmed.IsZero() {
		return d.guessedNaming(version)
	}
	return relay.NamedVersion{
		Version: version, NamedAfter: confirmed, StoreClock: max(d.freshness[tableDeclared].storeTime(confirmed), leastStoreClock),
	}
}

// namedAsReported returns the naming of a version as another daemon reports it, or otherwise if that one guesses
// too.
func (d *Directory) namedAsReported(now time.Time, seen SeenVersion, otherwise relay.NamedVersion) relay.NamedVersion {
	at, known := d.freshness[tableDeclared].localTime(seen.StoreClock)
	if !known || at.After(now) { // a time in the future is of another clock of the store
		return otherwise
	}
	return relay.NamedVersion{Version: seen.Version, NamedAfter: at, StoreClock: seen.StoreClock}
}

func (d *Directory) copyVersions() map[identity.ModelName][]relay.NamedVersion {
	copied := make(map[identity.ModelName][]relay.NamedVersion, len(d.versions))
	for model, named := range d.versions {
		copied[model] = slices.Clone(named)
	}
	return copied
}

// withLaterClock returns a naming with its lower bound raised to a time of the store's clock at which the version
// was not named yet: checks are rare, and answers to calls for changes carry later times.
func (d *Directory) withLaterClock(found relay.NamedVersion, clock time.Duration) relay.NamedVersion {
	at, known := d.freshness[tableDeclared].localTime(clock)
	if !known || found.Guessed || !at.After(found.NamedAfter) {
		return found
	}
	return relay.NamedVersion{Version: found.Version, NamedAfter: at, StoreClock: clock}
}

// nameVersions records the versions found by a read. It returns true if any was not known.
func (d *Directory) nameVersions(now time.Time, declared *Declared) bool {
	changed := false
	for _, model := range slices.Sorted(maps.Keys(declared.Versions)) {
		version := declared.Versions[model]
		found := d.guessedNaming(version)
		if d.started {
			found = d.namedSinceConfirmed(version)
		}
		if d.followsNewest(model, version) {
			row := declared.VersionRows[model]
			found = d.withLaterClock(d.withLaterClock(found, d.clockSamples.before(row)), d.held.before(row))
		}
		changed = d.nameVersion(now, model, found) || changed
	}
	return changed
}

// followsNewest reports whether a version directly follows the newest known one of its model. Otherwise several may
// have been named between two reads, and clock samples taken before the last one's row was written may be later
// than the naming of the first.
func (d *Directory) followsNewest(model identity.ModelName, version uint64) bool {
	newest := uint64(0) // versions begin with 1
	if named := d.versions[model]; len(named) > 0 {
		newest = named[len(named)-1].Version
	}
	return newest+1 == version
}

// nameVersion records a version if it is newer than the known ones, and returns whether it is.
func (d *Directory) nameVersion(now time.Time, model identity.ModelName, found relay.NamedVersion) bool {
	named := d.versions[model]
	if len(named) > 0 && named[len(named)-1].Version >= found.Version {
		return false
	}
	named = append(named, found)
	d.versions[model] = named[max(len(named)-maxRememberedVersions, 0):]
	d.mergeReported(now, model)
	d.options.Log.WithFields(logrus.Fields{
		"model": model, "version": found.Version, "not_named_ms_ago": now.Sub(found.NamedAfter).Milliseconds(), "guessed": found.Guessed,
		"since_start_ms": now.Sub(d.options.Started).Milliseconds(),
	}).Info("A version of weights is named.")
	return true
}

// AddSeenVersions adds another daemon's report on versions that were named before this daemon started. It blocks
// until the goroutine of Run receives it.
func (d *Directory) AddSeenVersions(ctx context.Context, seen []SeenVersion) {
	d.post(ctx, message{seen: seen})
}

// applySeen records another daemon's report, which may arrive before the versions are read here.
func (d *Directory) applySeen(seen []SeenVersion) {
	if d.replaceReported(clock.Now(), seen) {
		d.publishVersions()
	}
}

// replaceReported replaces the last report of other daemons. It returns true if that changed the remembered
// versions of any model.
func (d *Directory) replaceReported(now time.Time, seen []SeenVersion) bool {
	clear(d.reported)
	for _, each := range seen {
		d.reported[each.Model] = append(d.reported[each.Model], each)
	}
	changed := false
	for model := range d.reported {
		changed = d.mergeReported(now, model) || changed
	}
	return changed
}

// replaceGuesses replaces this daemon's guesses by known times from another one. It returns true if anything
// changed.
func (d *Directory) replaceGuesses(now time.Time, seen []SeenVersion) bool {
	if !slices.ContainsFunc(seen, func(each SeenVersion) bool { return each.StoreClock > 0 && d.guesses(each) }) {
		return false
	}
	return d.replaceReported(now, seen)
}

// guesses reports whether the naming time of a version reported by another daemon is a guess here.
func (d *Directory) guesses(seen SeenVersion) bool {
	return slices.ContainsFunc(d.versions[seen.Model], func(named relay.NamedVersion) bool {
		return named.Guessed && named.Version == seen.Version
	})
}

// mergeReported adds the versions that other daemons reported, up to the newest one known here, and replaces
// guesses by reported times. All versions matter: what a back end with old weights may still begin depends on the
// first version after its own. If no daemon knows when that one was named, a guess stands in for it. It returns
// true if anything changed.
func (d *Directory) mergeReported(now time.Time, model identity.ModelName) bool {
	clock, knows := d.freshness[tableDeclared].now(now)
	named := d.versions[model]
	if !knows || len(named) == 0 {
		return false
	}
	newest := named[len(named)-1].Version
	changed := false
	for _, seen := range d.reported[model] {
		if seen.Version > newest || seen.StoreClock > clock {
			continue
		}
		found := d.namedAsReported(now, seen, d.guessedNaming(seen.Version))
		place, known := slices.BinarySearchFunc(named, seen.Version, func(each relay.NamedVersion, version uint64) int {
			return cmp.Compare(each.Version, version)
		})
		switch {
		case !known:
			named = slices.Insert(named, place, found)
			changed = true
		case named[place].Guessed && !found.Guessed:
			named[place] = found
			changed = true
		}
	}
	if !changed {
		return false
	}
	d.versions[model] = named[max(len(named)-maxRememberedVersions, 0):]
	d.options.Log.WithFields(logrus.Fields{"model": model, "versions": len(named)}).Info("Another daemon reported when versions were named.")
	return true
}

// Targets returns the newest named version of each model, for weight updates.
func (d *Directory) Targets() map[identity.ModelName]uint64 {
	targets := map[identity.ModelName]uint64{}
	state := d.state.Load()
	if state == nil {
		return targets
	}
	for model := range state.Versions {
		targets[model] = state.NewestVersion(model)
	}
	return targets
}

// SeenVersions returns the remembered versions, oldest first, with a time of the store's clock at which each was
// not named yet; the time is zero if it is a guess.
func (d *Directory) SeenVersions() []SeenVersion {
	state := d.state.Load()
	if state == nil {
		return nil
	}
	return seenVersions(state)
}

// seenVersions returns the remembered versions, oldest first; the StoreClock of a guessed one is zero.
func seenVersions(state *relay.State) []SeenVersion {
	var seen []SeenVersion
	for _, model := range slices.Sorted(maps.Keys(state.Versions)) {
		for _, named := range state.Versions[model] {
			at := named.StoreClock
			if named.Guessed {
				at = 0
			}
			seen = append(seen, SeenVersion{Model: model, Version: named.Version, StoreClock: at})
		}
	}
	return seen
}
