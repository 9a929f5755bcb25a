package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusward/lotusward/internal/cachewatch"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// What moves of prompt caches are worth.
const (
	// leastFetchedTokens is how many shared tokens a prompt must have for its cache
	// to be fetched: fewer are read sooner than a move behind others ends.
	leastFetchedTokens = 512
	// saveShare of a store's link is the most for saves of all daemons together. Once
	// fetches use fetchShare of it, a back end that holds a prompt goes before the store:
	// what is asked for beyond the link waits, up to seconds.
	saveShare  = 1.0
	fetchShare = 0.5
	// quickMove is how long a prompt may take on the link of a store for the store to go
	// before all back ends that hold the prompt, and for quickFetchShare of its link to be
	// used: a back end may have dropped what it is believed to hold, and the store drops
	// less. Where moves took 12 to 20 ms, a third fewer shared tokens were read again; where
	// they took 37 to 50 ms, long prompts began later.
	quickMove       = 30 * time.Millisecond
	quickFetchShare = 0.8
	// saveBurst and fetchBurst are for how long of its part a daemon may use the link
	// at once.
	saveBurst  = 10 * time.Second
	fetchBurst = 500 * time.Millisecond
	// crossZoneFactor is how many times longer a move between zones takes the link, and
	// crossRegionFactor one between regions.
	crossZoneFactor   = 2
	crossRegionFactor = 10
)

// level is a prompt up to the end of one of its shared parts.
type level struct {
	part   cachewatch.Part
	key    promptcache.Key
	tokens int
}

// levels returns the shared parts of a request's prompt under the salt for a version
// of the weights, the deepest first. The last part is the request's own.
func (r *Relay) levels(admitted *admission, version uint64) []level {
	parts := admitted.request.Prompt.Parts
	salt := cacheSalt(version, admitted.tenant)
	var found []level
	tokens := 0
	for _, part := range parts[:max(len(parts)-1, 0)] {
		tokens += part.Tokens
		named := cachewatch.Part{Salt: salt, ID: part.ID}
		found = append(found, level{part: named, key: promptcache.KeyOf(salt, part.ID), tokens: tokens})
	}
	slices.Reverse(found)
	return found
}

// cached says where a request's shared parts are for a version of the weights, as seen from
// a region; an empty one is of no matter.
func (r *Relay) cached(admitted *admission, version uint64, region identity.Region) backendpool.Cached {
	now := r.options.Now()
	levels := r.levels(admitted, version)
	if len(levels) == 0 {
		return nil
	}
	store := r.storeNear(admitted, levels[0], region)
	known := make(backendpool.Cached, 0, len(levels))
	for _, shared := range levels {
		holders := r.options.Memory.Holders(now, shared.key)
		known = append(known, backendpool.Level{
			Tokens: shared.tokens, Read: holders.Read, Reading: holders.Reading,
			Stored: store != nil && r.stored(store, shared, holders),
		})
	}
	return known
}

// stored tells whether a store is known to hold a part: from the store's own events,
// or where those can't be had from what daemons told of saves.
func (r *Relay) stored(store *routing.PromptStore, shared level, holders promptcache.Holders) bool {
	tokens, known := r.options.Stores(store.Address).Tokens(shared.part)
	if known {
		return tokens > 0
	}
	return slices.Contains(holders.Read, rendezvous.Key(store.Address))
}

// describeCache sets the salt, and where prompt caches come from and go to. The
// version is always part of the salt and always demanded of the back end, so
// that what is made under a salt is of that version.
func (r *Relay) describeCache(admitted *admission, ticket *backendpool.Ticket, dispatch *Dispatch) {
	if ticket.Version == 0 {
		return
	}
	dispatch.Version = ticket.Version
	dispatch.CacheSalt = cacheSalt(ticket.Version, admitted.tenant)
	levels := r.levels(admitted, ticket.Version)
	if len(levels) == 0 {
		return
	}
	now := r.options.Now()
	deepest := levels[0]
	store := r.storeNear(admitted, deepest, r.options.Pool.RegionOf(ticket.Backend.Zone))
	total, _ := promptTokens(admitted.request.Prompt.Parts)
	if deepest.tokens >= leastFetchedTokens {
		dispatch.FetchFrom = r.fetchFrom(now, admitted, ticket, store)
	}
	fact := promptcache.Fact{Part: deepest.key, Backend: ticket.Key, Tokens: deepest.tokens}
	worthSaving := r.options.Memory.RecordDispatch(now, fact, deepest.tokens, total)
	stored := store != nil && r.stored(store, deepest, r.options.Memory.Holders(now, deepest.key))
	if worthSaving && store != nil && !stored && r.maySave(now, admitted, store, total) {
		dispatch.SaveTo = store.Address
	}
}

// fetchFrom chooses the source of a prompt's cache: whoever has more of it; of equals a
// back end of the same zone where moves from the store are slow, then the store while its
// link is little used, then any back end. A store of which nothing is known is asked too:
// that costs little, and it may have the first parts.
func (r *Relay) fetchFrom(now time.Time, admitted *admission, ticket *backendpool.Ticket, store *routing.PromptStore) string {
	source := ticket.Source
	holder := source.Holder
	equal := source.HolderTokens == source.StoredTokens
	switch {
	case holder != nil && (store == nil || source.HolderTokens > source.StoredTokens):
		return holder.Address
	case holder != nil && equal && holder.Zone == ticket.Backend.Zone && !r.isQuick(admitted, store, source.StoredTokens):
		return holder.Address
	case store == nil:
		return ""
	}
	moved := linkTokens(r.options.Pool.Distances(), ticket, store, max(source.StoredTokens-source.HeldTokens, 0))
	if holder != nil && equal && !r.mayFetch(now, admitted, store, moved) {
		return holder.Address
	}
	r.links.take(now, r.fetches(admitted, store), moved)
	return store.Address
}

// isQuick tells whether a number of tokens takes little time on a store's link.
func (r *Relay) isQuick(admitted *admission, store *routing.PromptStore, tokens int) bool {
	rate := linkRate(admitted, store)
	return rate > 0 && float64(tokens) <= rate*quickMove.Seconds()
}

// linkRate is how many tokens a second the link of a store carries; zero is unknown.
func linkRate(admitted *admission, store *routing.PromptStore) float64 {
	service := admitted.state.Table.Service(admitted.match.Service)
	if service == nil || service.Engine == nil || service.Engine.TokenBytes == 0 {
		return 0
	}
	const bitsPerByte = 8
	return store.LinkBitsPerSecond / bitsPerByte / float64(service.Engine.TokenBytes)
}

// linkTokens is how many tokens a move between a ticket's back end and a store counts
// for on the store's link.
func linkTokens(distances distance.Map, ticket *backendpool.Ticket, store *routing.PromptStore, tokens int) int {
	switch distances.Between(ticket.Backend.Zone, store.Zone) {
	case distance.SameZone:
		return tokens
	case distance.SameRegion:
		return crossZoneFactor * tokens
	default:
		return crossRegionFactor * tokens
	}
}

// mayFetch tells whether the link of a store has room for a prompt.
func (r *Relay) mayFetch(now time.Time, admitted *admission, store *routing.PromptStore, tokens int) bool {
	return r.links.allows(now, r.fetches(admitted, store), tokens)
}

// maySave takes a save of a prompt from this daemon's part of the store's link.
func (r *Relay) maySave(now time.Time, admitted *admission, store *routing.PromptStore, tokens int) bool {
	saves := r.linkUse(admitted, store, useSave, saveShare, saveBurst)
	if !r.links.allows(now, saves, tokens) {
		return false
	}
	r.links.take(now, saves, tokens)
	return true
}

// fetches is this daemon's part of a store's link for fetches.
func (r *Relay) fetches(admitted *admission, store *routing.PromptStore) linkUse {
	share := fetchShare
	if total, own := promptTokens(admitted.request.Prompt.Parts); r.isQuick(admitted, store, total-own) {
		share = quickFetchShare
	}
	return r.linkUse(admitted, store, useFetch, share, fetchBurst)
}

// linkUse is this daemon's part of a share of a store's link.
func (r *Relay) linkUse(admitted *admission, store *routing.PromptStore, kind useKind, share float64, burst time.Duration) linkUse {
	return linkUse{
		address: store.Address, kind: kind, burst: burst,
		tokensPerSecond: share * linkRate(admitted, store) / float64(r.options.Daemons()),
	}
}

// hasRead notes that a ticket's back end has read a request's shared parts, and
// that a store takes them.
func (r *Relay) hasRead(admitted *admission, ticket *backendpool.Ticket, savedTo string) {
	if admitted.request.Prompt == nil || ticket.Version == 0 {
		return
	}
	now := r.options.Now()
	for _, shared := range r.levels(admitted, ticket.Version) {
		fact := promptcache.Fact{Part: shared.key, Backend: ticket.Key, Tokens: shared.tokens}
		r.options.Memory.RecordRead(now, fact)
		if savedTo != "" {
			fact.Backend = rendezvous.Key(savedTo)
			r.options.Memory.RecordRead(now, fact)
		}
	}
}

// promptTokens returns a prompt's tokens, and those of its own last part; zeros where the
// caller declares no parts.
func promptTokens(parts []Part) (total, own int) {
	if len(parts) == 0 {
		return 0, 0
	}
	for _, part := range parts {
		total += part.Tokens
	}
	return total, parts[len(parts)-1].Tokens
}

// cacheSalt names who may share cached prompts: all who use the same weights, or
// one tenant alone where it is isolated.
func cacheSalt(version uint64, tenant *routing.Tenant) string {
	var salt strings.Builder
	salt.WriteString("v")
	salt.WriteString(formatVersion(version))
	if tenant != nil && tenant.Isolated {
		salt.WriteString("/")
		salt.WriteString(string(tenant.Name))
	}
	return salt.String()
}
