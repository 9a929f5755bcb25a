package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// useKind is a kind of transfer over a store's link.
type useKind int

const (
	useSave useKind = iota
	useFetch
)

// linkUse is a daemon's share of a store's link for one kind of transfer.
type linkUse struct {
	address string
	kind    useKind
	// tokensPerSecond is the rate at which prompt cache tokens may be transferred; zero means
	// unlimited.
	tokensPerSecond float64
	// burst is the duration whose worth of tokens may be transferred at once.
	burst time.Duration
}

// linkBudgets rate-limits transfers over the links of stores. It is safe for concurrent use.
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

// allows reports whether the link has capacity for a number of tokens. A prompt larger than the
// burst needs the whole burst.
func (b *linkBudgets) allows(now time.Time, use linkUse, tokens int) bool {
	if use.tokensPerSecond == 0 {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limiter := b.limiter(now, use)
	return limiter.TokensAt(now) >= float64(min(tokens, limiter.Burst()))
}

// take charges a number of tokens to the link, if it has capacity.
func (b *linkBudgets) take(now time.Time, use linkUse, tokens int) {
	if use.tokensPerSecond == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limiter := b.limiter(now, use)
	limiter.AllowN(now, min(tokens, limiter.Burst()))
}

// limiter returns the rate limiter of a use, adjusted to its current rate and burst. The caller
// holds the mutex.
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
