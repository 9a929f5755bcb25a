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

// Parameters of prompt cache transfers.
const (
	// minFetchTokens is the number of shared tokens from which a prompt's cache is fetched.
	// Recomputing fewer tokens is faster than a transfer that queues behind others.
	minFetchTokens = 512
	// saveShare is the share of a store's link that the saves of all daemons together may use.
	// Once fetches use fetchShare of the link, a backend that holds the prompt is preferred to the
	// store, because transfers beyond the link's capacity queue for up to seconds.
	saveShare  = 1.0
	fetchShare = 0.5
	// quickTransfer is the transfer time on a store's link up to which the store is preferred to
	// all backends that hold the prompt, and quickFetchShare of the link may be used: a backend
	// may have evicted what it is believed to hold, and the store evicts less. Where transfers
	// took 12 to 20 ms, a third fewer shared tokens were recomputed; where they took 37 to 50 ms,
	// long prompts started later.
	quickTransfer   = 30 * time.Millisecond
	quickFetchShare = 0.8
	// saveBurst and fetchBurst are how much link time of its share a daemon may use at once.
	saveBurst  = 10 * time.Second
	fetchBurst = 500 * time.Millisecond
	// crossZoneFactor and crossRegionFactor are how many times longer a transfer between zones and
	// between regions occupies the link.
	crossZoneFactor   = 2
	crossRegionFactor = 10
)

// promptPrefix is a prompt up to the end of one of its shared parts.
type promptPrefix struct {
	part   cachewatch.Part
	key    promptcache.Key
	tokens int
}

// sharedPrefixes returns the shared prefixes of a request's prompt, the longest first, under the
// salt for a version of the weights. The last part of the prompt belongs to the request alone and
// is left out.
func (r *Relay) sharedPrefixes(admitted *admission, version uint64) []promptPrefix {
	parts := admitted.request.Prompt.Parts
	salt := cacheSalt(version, admitted.sender)
	var found []promptPrefix
	tokens := 0
	for _, part := range parts[:max(len(parts)-1, 0)] {
		tokens += part.Tokens
		named := cachewatch.Part{Salt: salt, ID: part.ID}
		found = append(found, promptPrefix{part: named, key: promptcache.KeyOf(salt, part.ID), tokens: tokens})
	}
	slices.Reverse(found)
	return found
}

// cached returns where the shared prefixes of a request are cached for a version of the weights,
// as seen from a region. An empty region stands for any.
func (r *Relay) cached(admitted *admission, version uint64, region identity.Region) backendpool.Cached {
	now := r.options.Now()
	levels := r.sharedPrefixes(admitted, version)
	if len(levels) == 0 {
		return nil
	}
	store := r.reachableStore(admitted, levels[0], region)
	known := make(backendpool.Cached, 0, len(levels))
	for _, shared := range levels {
		holders := r.options.Memory.Holders(now, shared.key)
		known = append(known, backendpool.Level{
			Tokens: shared.tokens, Read: holders.Read, Reading: holders.Reading,
			Stored: store != nil && r.isStored(store, shared, holders),
		})
	}
	return known
}

// isStored reports whether a store is known to hold a prefix: from the store's own events or, if
// these are unavailable, from the saves that daemons reported.
func (r *Relay) isStored(store *routing.PromptStore, shared promptPrefix, holders promptcache.Holders) bool {
	tokens, known := r.options.Stores(store.Address).Tokens(shared.part)
	if known {
		return tokens > 0
	}
	return slices.Contains(holders.Read, rendezvous.Key(store.Address))
}

// describeCache sets the cache salt, and the source and target of the prompt's cache. The version
// is always part of the salt and is always required of the backend, so that everything cached
// under a salt was computed with that version.
func (r *Relay) describeCache(admitted *admission, ticket *backendpool.Ticket, dispatch *Dispatch) {
	if ticket.Version == 0 {
		return
	}
	dispatch.Version = ticket.Version
	dispatch.CacheSalt = cacheSalt(ticket.Version, admitted.sender)
	levels := r.sharedPrefixes(admitted, ticket.Version)
	if len(levels) == 0 {
		return
	}
	now := r.options.Now()
	deepest := levels[0]
	store := r.reachableStore(admitted, deepest, r.options.Pool.RegionOf(ticket.Backend.Zone))
	total, _ := promptTokens(admitted.request.Prompt.Parts)
	if deepest.tokens >= minFetchTokens {
		dispatch.FetchFrom = r.fetchFrom(now, admitted, ticket, store)
	}
	fact := promptcache.Fact{Part: deepest.key, Backend: ticket.Key, Tokens: deepest.tokens}
	worthSaving := r.options.Memory.RecordDispatch(now, fact, deepest.tokens, total)
	stored := store != nil && r.isStored(store, deepest, r.options.Memory.Holders(now, deepest.key))
	if worthSaving && store != nil && !stored && r.reserveSave(now, admitted, store, total) {
		dispatch.SaveTo = store.Address
	}
}

// fetchFrom chooses the source of a prompt's cache: the one that holds more of it. If backend and
// store hold the same amount, the order is a backend of the same zone if transfers from the store
// are slow, then the store while its link is lightly used, then any backend. A store whose
// contents are unknown is asked too: the request costs little, and the store may hold the first
// parts.
func (r *Relay) fetchFrom(now time.Time, admitted *admission, ticket *backendpool.Ticket, store *routing.PromptStore) string {
	source := ticket.Source
	holder := source.Holder
	equal := source.HolderTokens == source.StoredTokens
	switch {
	case holder != nil && (store == nil || source.HolderTokens > source.StoredTokens):
		return holder.Address
	case holder != nil && equal && holder.Zone == ticket.Backend.Zone && !r.isQuickTransfer(admitted, store, source.StoredTokens):
		return holder.Address
	case store == nil:
		return ""
	}
	moved := linkTokens(r.options.Pool.Distances(), ticket, store, max(source.StoredTokens-source.HeldTokens, 0))
	if holder != nil && equal && !r.linkAllowsFetch(now, admitted, store, moved) {
		return holder.Address
	}
	r.links.take(now, r.fetchUse(admitted, store), moved)
	return store.Address
}

// isQuickTransfer reports whether a store's link transfers a number of tokens within
// quickTransfer.
func (r *Relay) isQuickTransfer(admitted *admission, store *routing.PromptStore, tokens int) bool {
	rate := linkRate(admitted, store)
	return rate > 0 && float64(tokens) <= rate*quickTransfer.Seconds()
}

// linkRate returns how many tokens per second a store's link carries, or zero if unknown.
func linkRate(admitted *admission, store *routing.PromptStore) float64 {
	service := admitted.state.Table.Service(admitted.match.Service)
	if service == nil || service.Engine == nil || service.Engine.TokenBytes == 0 {
		return 0
	}
	const bitsPerByte = 8
	return store.LinkBitsPerSecond / bitsPerByte / float64(service.Engine.TokenBytes)
}

// linkTokens returns how many tokens a transfer between the ticket's backend and a store is
// charged on the store's link.
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

// linkAllowsFetch reports whether a store's link has capacity left to fetch a prompt.
func (r *Relay) linkAllowsFetch(now time.Time, admitted *admission, store *routing.PromptStore, tokens int) bool {
	return r.links.allows(now, r.fetchUse(admitted, store), tokens)
}

// reserveSave charges the save of a prompt to this daemon's share of the store's link and returns
// false if the share is used up.
func (r *Relay) reserveSave(now time.Time, admitted *admission, store *routing.PromptStore, tokens int) bool {
	saves := r.linkUse(admitted, store, useSave, saveShare, saveBurst)
	if !r.links.allows(now, saves, tokens) {
		return false
	}
	r.links.take(now, saves, tokens)
	return true
}

// fetchUse returns this daemon's share of a store's link for fetches.
func (r *Relay) fetchUse(admitted *admission, store *routing.PromptStore) linkUse {
	share := fetchShare
	if total, own := promptTokens(admitted.request.Prompt.Parts); r.isQuickTransfer(admitted, store, total-own) {
		share = quickFetchShare
	}
	return r.linkUse(admitted, store, useFetch, share, fetchBurst)
}

// linkUse returns this daemon's part of a share of a store's link.
func (r *Relay) linkUse(admitted *admission, store *routing.PromptStore, kind useKind, share float64, burst time.Duration) linkUse {
	return linkUse{
		address: store.Address, kind: kind, burst: burst,
		tokensPerSecond: share * linkRate(admitted, store) / float64(r.options.Daemons()),
	}
}

// recordRead records that the ticket's backend has processed the shared prefixes of a request and,
// if savedTo is set, that the store receives them.
func (r *Relay) recordRead(admitted *admission, ticket *backendpool.Ticket, savedTo string) {
	if admitted.request.Prompt == nil || ticket.Version == 0 {
		return
	}
	now := r.options.Now()
	for _, shared := range r.sharedPrefixes(admitted, ticket.Version) {
		fact := promptcache.Fact{Part: shared.key, Backend: ticket.Key, Tokens: shared.tokens}
		r.options.Memory.RecordRead(now, fact)
		if savedTo != "" {
			fact.Backend = rendezvous.Key(savedTo)
			r.options.Memory.RecordRead(now, fact)
		}
	}
}

// promptTokens returns the total tokens of a prompt and those of its last part, which is the
// request's own. Both are zero if the caller declares no parts.
func promptTokens(parts []Part) (total, own int) {
	if len(parts) == 0 {
		return 0, 0
	}
	for _, part := range parts {
		total += part.Tokens
	}
	return total, parts[len(parts)-1].Tokens
}

// cacheSalt identifies who shares cached prompts: everyone who uses the same weights, or a single
// tenant if that tenant is isolated.
func cacheSalt(version uint64, sender principal) string {
	var salt strings.Builder
	salt.WriteString("v")
	salt.WriteString(formatVersion(version))
	if isolated := sender.isolatedTenant(); isolated != "" {
		salt.WriteString("/")
		salt.WriteString(string(isolated))
	}
	return salt.String()
}
