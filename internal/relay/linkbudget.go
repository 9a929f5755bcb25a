package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// useKind is what a store's link is used for.
type useKind int

const (
	useSave useKind = iota
	useFetch
)

// linkUse is a daemon's part of a store's link for one kind of use.
type linkUse struct {
	address string
	kind    useKind
	// tokensPerSecond is how many tokens of prompt caches may be moved; zero is no bound.
	tokensPerSecond float64
	// burst is for how long of that may be moved at once.
	burst time.Duration
}

// linkBudgets bounds what is moved over the links of stores. It is safe for use by
// several goroutines.
type linkBudgets struct {
	mutex    sync.Mutex
	limiters map[linkKey]*rate.Limiter
}

type linkKey struct {
	address string
	kind    useKind
}

func newLinkBudgets() *linkBudgets {
	return &linkBudgets{limiters: map[linkKey]*rate.Limiter{}}
}

// allows tells whether the link has room for a number of tokens. A prompt that is
// larger than the burst needs all of it.
func (b *linkBudgets) allows(now time.Time, use linkUse, tokens int) bool {
	if use.tokensPerSecond == 0 {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limiter := b.limiter(now, use)
	return limiter.TokensAt(now) >= float64(min(tokens, limiter.Burst()))
}

// take uses the link for a number of tokens, if it has room.
func (b *linkBudgets) take(now time.Time, use linkUse, tokens int) {
	if use.tokensPerSecond == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limiter := b.limiter(now, use)
	limiter.AllowN(now, min(tokens, limiter.Burst()))
}

// limiter is the budget of a use at its present size. The caller holds the mutex.
func (b *linkBudgets) limiter(now time.Time, use linkUse) *rate.Limiter {
	key := linkKey{address: use.address, kind: use.kind}
	burst := max(int(use.tokensPerSecond*use.burst.Seconds()), 1)
	limiter := b.limiters[key]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(use.tokensPerSecond), burst)
		b.limiters[key] = limiter
	}
	limiter.SetLimitAt(now, rate.Limit(use.tokensPerSecond))
	limiter.SetBurstAt(now, burst)
	return limiter
}
