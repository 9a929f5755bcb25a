package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// use is one granted request.
type use struct {
	at   time.Time
	cost float64
}

// maxInWindow returns the largest sum of costs in any window of the given length.
func maxInWindow(uses []use, window time.Duration) float64 {
	most := 0.0
	for first := range uses {
		sum := 0.0
		for _, later := range uses[first:] {
			if later.at.Sub(uses[first].at) > window {
				break
			}
			sum += later.cost
		}
		most = max(most, sum)
	}
	return most
}

// TestBucketKeepsItsLimit draws requests of any size at any time. In no window may more be granted
// than what accrues plus the burst, the margin and the overdraft of the last request.
func TestBucketKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Version: 1, RatePerSecond: rapid.Float64Range(10, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 2000).Draw(t, "burst")}
		margin := rapid.Float64Range(1, 500).Draw(t, "margin")
		largest := rapid.Float64Range(1, 3000).Draw(t, "largest")
		bucket := NewBucket(start, limit, margin, rapid.Float64Range(0, 5000).Draw(t, "level"))
		now := start
		var uses []use
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			cost := rapid.Float64Range(0.1, largest).Draw(t, "cost")
			if bucket.Take(now, cost, 1).Granted {
				uses = append(uses, use{now, cost})
			}
		}
		window := time.Duration(rapid.IntRange(1, 8000).Draw(t, "window")) * time.Millisecond
		overdrawn := max(largest-limit.Burst-margin, 0)
		bound := window.Seconds()*limit.RatePerSecond + limit.Burst + margin + overdrawn
		assert.Assert(t, maxInWindow(uses, window) <= bound*1.000001, "%v > %v", maxInWindow(uses, window), bound)
	})
}

// TestUseBelowTheLimitIsGranted sends requests of one size at 90% of the rate.
func TestUseBelowTheLimitIsGranted(t *testing.T) {
	bucket := NewBucket(start, Limit{Version: 1, RatePerSecond: 1000, Burst: 500}, 0, 500)
	for number := range 1000 {
		now := start.Add(time.Duration(number) * 100 * time.Millisecond)
		assert.Assert(t, bucket.Take(now, 90, 1).Granted, "request %d", number)
	}
}

// TestRetryAfterWaitIsGranted checks that a rejected request is granted if it returns after the
// announced wait.
func TestRetryAfterWaitIsGranted(t *testing.T) {
	bucket := NewBucket(start, Limit{Version: 1, RatePerSecond: 100, Burst: 100}, 0, 0)
	refused := bucket.Take(start, 60, 1)
	assert.Equal(t, refused, Decision{Wait: 600 * time.Millisecond})
	// The next request is told to return after the first one.
	assert.Equal(t, bucket.Take(start, 60, 1).Wait, 1200*time.Millisecond)
	assert.Assert(t, bucket.Take(start.Add(refused.Wait), 60, 1).Granted)
	assert.Assert(t, !bucket.Take(start.Add(refused.Wait), 60, 1).Granted)
	assert.Equal(t, NewBucket(start, Limit{Version: 1, RatePerSecond: 100, Burst: 100}, 0, 99.9).Take(start, 100, 1).Wait, minWait)
	slow := NewBucket(start, Limit{Version: 1, RatePerSecond: 1, Burst: 100}, 0, 0)
	assert.Equal(t, slow.Take(start, 60, 1).Wait, maxWait)
}

// TestLowerLimitAppliesAtOnce applies a newer limit, and ignores an older one.
func TestLowerLimitAppliesAtOnce(t *testing.T) {
	limiter := NewLimiter(start, 0)
	now := start.Add(time.Hour)
	ask := func(number, version uint64, rate, cost float64) bool {
		request := Request{Key: RequestKey{"a", number}, Owner: "t", Limit: Limit{version, rate, rate}, Cost: cost}
		return limiter.Take(now, request, Role{Home: true, Share: 1}).Granted
	}
	assert.Assert(t, ask(1, 7, 1000, 100))
	assert.Assert(t, ask(2, 8, 10, 10), "the lower limit's burst is there")
	assert.Assert(t, !ask(3, 8, 10, 10))
	assert.Assert(t, !ask(4, 7, 1000, 10), "an older configuration's limit came back")
}

// TestRepeatedRequestTakesOnce repeats a request as if its response was lost: it is charged and
// refunded only once.
func TestRepeatedRequestTakesOnce(t *testing.T) {
	limiter := NewLimiter(start, 0)
	now := start.Add(time.Hour)
	request := func(number uint64) Request {
		return Request{Key: RequestKey{"a", number}, Owner: "t", Limit: Limit{1, 1, 100}, Cost: 60}
	}
	home := Role{Home: true, Share: 1}
	for range 3 {
		assert.Assert(t, limiter.Take(now, request(1), home).Granted)
	}
	assert.Assert(t, !limiter.Take(now, request(2), home).Granted)
	assert.Assert(t, limiter.Refund(request(1).Key))
	assert.Assert(t, !limiter.Refund(request(1).Key))
	assert.Assert(t, !limiter.Refund(request(2).Key))
	assert.Assert(t, limiter.Take(now, request(3), home).Granted)
	assert.Assert(t, !limiter.Take(now, request(4), home).Granted)
}

// TestUnknownUseIsNotGrantedAgain creates buckets where another daemon may have granted the burst
// just before.
func TestUnknownUseIsNotGrantedAgain(t *testing.T) {
	for _, role := range []Role{{Home: false, Share: 1}, {Home: true, Share: 1}} {
		limiter := NewLimiter(start, 10)
		request := Request{Key: RequestKey{"a", 1}, Owner: "t", Limit: Limit{1, 100, 100}, Cost: 100}
		assert.Assert(t, !limiter.Take(start, request, role).Granted)
		request.Key.Number = 2
		assert.Assert(t, limiter.Take(start.Add(time.Second), request, role).Granted)
	}
}

// BenchmarkTake measures one decision of a limiter with 15,000 tenants: 240 ns when it was
// introduced.
func BenchmarkTake(b *testing.B) {
	limiter := NewLimiter(start, 10)
	tenants := make([]Request, 15000)
	for index := range tenants {
		tenants[index] = Request{Owner: tenantName(index), Limit: Limit{1, 100, 100}, Cost: 1}
	}
	now := start
	for number := range b.N {
		now = now.Add(100 * time.Microsecond)
		request := tenants[number%len(tenants)]
		request.Key = RequestKey{"a", uint64(number)}
		limiter.Take(now, request, Role{Home: true, Share: 1})
	}
}

func tenantName(index int) Owner {
	return Owner(fmt.Sprint("tenant-", index))
}

// TestShowingUsageGrantsNothing guards against a table for operators that fills the bucket of a daemon that may grant
// only a part of the rate.
func TestShowingUsageGrantsNothing(t *testing.T) {
	limit := Limit{Version: 1, RatePerSecond: 100, Burst: 1000}
	limiter, half := NewLimiter(start, 0), Role{Share: 0.5}
	request := func(now time.Time, number uint64, cost float64) bool {
		return limiter.Take(now, Request{Key: RequestKey{From: "a", Number: number}, Owner: "t", Limit: limit, Cost: cost}, half).Granted
	}
	assert.Assert(t, !request(start, 1, 1))
	later := start.Add(2 * time.Second)
	for range 2 {
		assert.DeepEqual(t, limiter.Usages(later), []Usage{{Owner: "t", Limit: limit, Level: 200}})
	}
	assert.Assert(t, !request(later, 2, 101))
	assert.Assert(t, request(later, 3, 100))
}
