package daemon

import (
	"time"

	"github.com/lotusward/lotusward/internal/cachewatch"
	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

const (
	// cacheWatchers is how many daemons watch the cache of a back end, and tell the
	// others what it drops.
	cacheWatchers = 2
	// storeWatchers is how many daemons watch a store of prompt caches, which holds the calls of some ten: hundreds more
	// would be refused again and again, on new connections.
	storeWatchers = 8
	// cacheRest lies between two calls for the events of a back end's cache.
	cacheRest = 400 * time.Millisecond
)

// promptStores are the stores of prompt caches that this daemon watches. The others go by what daemons tell of saves.
func (w *Daemon) promptStores() []cachewatch.Target {
	var targets []cachewatch.Target
	for _, address := range w.directory.PromptStoreAddresses() {
		if rendezvous.AmongTop(rendezvous.Key(address), w.link.Address(), w.members.Others(), storeWatchers) {
			targets = append(targets, cachewatch.Target{Name: address, Address: address})
		}
	}
	return targets
}

// watchedBackends are the back ends whose caches this daemon watches.
func (w *Daemon) watchedBackends() []cachewatch.Target {
	return w.cacheTargets.Targets(clock.Now(), w.members.Others())
}

// observeCache takes in what the cache of a back end holds and what it dropped.
func (w *Daemon) observeCache(target cachewatch.Target, page cachewatch.Page) {
	if id := identity.BackendID(target.Name); !id.MatchesIncarnation(page.Incarnation) {
		w.backends.Ended(id) // the events are of its next life
		return
	}
	w.noteBackend(identity.BackendID(target.Name), page.Notice)
	now := clock.Now()
	for _, event := range page.Events {
		fact := promptcache.Fact{
			Part: promptcache.KeyOf(event.Part.Salt, event.Part.ID), Backend: rendezvous.Key(target.Name), Tokens: event.Tokens,
		}
		if event.Fewer {
			w.memory.RecordDrop(now, fact)
		} else {
			w.memory.RecordHeld(now, fact)
		}
	}
}

// noteBackend takes in what a back end says of itself in an answer that is to no request of a caller.
func (w *Daemon) noteBackend(id identity.BackendID, notice backendpool.Notice) {
	if w.backends.RecordNotice(clock.Now(), id, notice) {
		w.part("backends").WithField("backend", id).Warn("A back end drains, asks for no requests, or changes how many it takes.")
	}
}
