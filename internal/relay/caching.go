package relay

import (
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/cachewatch"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// What moves of prompt caches are worth.
const (
	// leastSharedTokens is how many shared tokens a prompt must have for its cache
	// to be remembered and fetched: fewer are read sooner than a move behind others ends.
	leastSharedTokens = 512
	// saveShare of a store's link is for saves of all daemons together: saves hold up
	// fetches.
	saveShare = 0.3
	// saveBurst is for how long of its part a daemon may save at once.
	saveBurst = 10 * time.Second
)

// cacheKey names the deepest shared part of a request's prompt under the salt for
// a version of the weights. It returns false when too little is shared.
func (r *Relay) cacheKey(admitted *admission, version uint64) (cachewatch.Part, bool) {
	parts := admitted.request.Prompt.Parts
	total, own := promptTokens(parts)
	if total-own < leastSharedTokens {
		return cachewatch.Part{}, false
	}
	return cachewatch.Part{Salt: cacheSalt(version, admitted.tenant), ID: parts[len(parts)-2].ID}, true
}

// partKey is what a part is remembered by.
func partKey(part cachewatch.Part) promptcache.Key { return promptcache.KeyOf(part.Salt, part.ID) }

// cached says where a request's shared parts are for a version of the weights.
func (r *Relay) cached(admitted *admission, version uint64) backendpool.Cached {
	part, shared := r.cacheKey(admitted, version)
	if !shared {
		return backendpool.Cached{}
	}
	holders := r.options.Memory.Holders(r.options.Now(), partKey(part))
	known := backendpool.Cached{Read: holders.Read, Reading: holders.Reading}
	if store := admitted.state.Table.PromptStore(uint64(partKey(part))); store != nil {
		known.Stored = r.stored(store, part, holders) == storedYes
	}
	return known
}

// stored says whether a store holds a part.
type stored int

const (
	storedUnknown stored = iota
	storedNo
	storedYes
)

// stored tells from the store's own events, and from what daemons told of saves.
func (r *Relay) stored(store *routing.PromptStore, part cachewatch.Part, holders promptcache.Holders) stored {
	tokens, known := r.options.Stores(store.Address).Tokens(part)
	key := rendezvous.Key(store.Address)
	for _, holder := range holders.Read {
		if holder == key && !known {
			return storedYes
		}
	}
	switch {
	case !known:
		return storedUnknown
	case tokens > 0:
		return storedYes
	default:
		return storedNo
	}
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
	part, shared := r.cacheKey(admitted, ticket.Version)
	if !shared {
		return
	}
	now := r.options.Now()
	store := admitted.state.Table.PromptStore(uint64(partKey(part)))
	state := storedNo
	if store != nil {
		state = r.stored(store, part, r.options.Memory.Holders(now, partKey(part)))
	}
	total, own := promptTokens(admitted.request.Prompt.Parts)
	dispatch.FetchFrom = fetchFrom(ticket, store, state)
	fact := promptcache.Fact{Part: partKey(part), Backend: ticket.Key}
	worthSaving := r.options.Memory.Sent(now, fact, total-own, total)
	if worthSaving && state != storedYes && store != nil && r.maySave(now, admitted, store, total) {
		dispatch.SaveTo = store.Address
	}
}

// fetchFrom chooses the source of a prompt's cache: another back end of the same
// zone, else a store that holds it, else any back end that does. A store of which
// nothing is known is asked too; that costs little.
func fetchFrom(ticket *backendpool.Ticket, store *routing.PromptStore, state stored) string {
	holder := ticket.Holder
	switch {
	case holder != nil && (holder.Zone == ticket.Backend.Zone || state != storedYes):
		return holder.Address
	case store != nil && state != storedNo:
		return store.Address
	default:
		return ""
	}
}

// maySave takes a save of a prompt from this daemon's part of the store's link.
func (r *Relay) maySave(now time.Time, admitted *admission, store *routing.PromptStore, tokens int) bool {
	service := admitted.state.Table.Service(admitted.match.Service)
	if service == nil || service.Engine == nil || service.Engine.TokenBytes == 0 || store.LinkBitsPerSecond == 0 {
		return true
	}
	const bitsPerByte = 8
	tokensPerSecond := store.LinkBitsPerSecond / bitsPerByte / float64(service.Engine.TokenBytes)
	return r.saves.allow(now, store.Address, saveShare*tokensPerSecond/float64(r.options.Daemons()), tokens)
}

// saveBudgets bounds what is saved to each store. It is safe for use by several
// goroutines.
type saveBudgets struct {
	mutex    sync.Mutex
	limiters map[string]*rate.Limiter
}

// allow takes tokens from a store's budget, which grows by a number a second.
func (b *saveBudgets) allow(now time.Time, address string, tokensPerSecond float64, tokens int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	burst := int(tokensPerSecond * saveBurst.Seconds())
	limiter := b.limiters[address]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(tokensPerSecond), burst)
		b.limiters[address] = limiter
	}
	limiter.SetLimitAt(now, rate.Limit(tokensPerSecond))
	limiter.SetBurstAt(now, burst)
	return limiter.AllowN(now, min(tokens, burst))
}

// hasRead notes that a ticket's back end has read a request's shared parts, and
// that a store takes them.
func (r *Relay) hasRead(admitted *admission, ticket *backendpool.Ticket, savedTo string) {
	if admitted.request.Prompt == nil || ticket.Version == 0 {
		return
	}
	part, shared := r.cacheKey(admitted, ticket.Version)
	if !shared {
		return
	}
	now := r.options.Now()
	r.options.Memory.HasRead(now, promptcache.Fact{Part: partKey(part), Backend: ticket.Key})
	if savedTo != "" {
		r.options.Memory.HasRead(now, promptcache.Fact{Part: partKey(part), Backend: rendezvous.Key(savedTo)})
	}
}

// promptTokens returns a prompt's tokens, and those of its own last part.
func promptTokens(parts []Part) (total, own int) {
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
