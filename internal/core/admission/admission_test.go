package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

type waitingRequest struct {
	order  Order
	tenant identity.TenantName
	cost   float64
}

// TestFairClockBoundsUnfairness serves two tenants that always have requests
// waiting. Their service, over their weights, must never differ by more than
// one largest request of each.
func TestFairClockBoundsUnfairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 1000.0
		weights := map[identity.TenantName]float64{
			"large": rapid.Float64Range(0.5, 4).Draw(t, "weight of large"),
			"small": rapid.Float64Range(0.5, 4).Draw(t, "weight of small"),
		}
		clock := NewFairClock()
		var queue Queue[waitingRequest]
		served := map[identity.TenantName]float64{}
		sequence := uint64(0)
		add := func(tenant identity.TenantName) {
			sequence++
			cost := rapid.Float64Range(1, largest).Draw(t, "cost")
			tag := clock.Tag(tenant, identity.ClassStandard, weights[tenant], cost)
			request := waitingRequest{order: Order{Class: identity.ClassStandard, Tag: tag, Sequence: sequence}, tenant: tenant, cost: cost}
			queue.Add(request.order, request)
		}
		for range rapid.IntRange(1, 50).Draw(t, "backlog of large") {
			add("large")
		}
		add("small")
		for range 60 {
			first := queue.Items()[0]
			assert.Assert(t, queue.Remove(first.order))
			served[first.tenant] += first.cost / weights[first.tenant]
			add(first.tenant)
			waiting, _ := queue.FirstOf(identity.ClassStandard)
			clock.Advance(identity.ClassStandard, waiting.Tag)

			difference := served["large"] - served["small"]
			bound := largest/weights["large"] + largest/weights["small"]
			assert.Assert(t, difference <= bound && -difference <= bound)
		}
	})
}

// TestLimitsHold drives a tenant's share against a plain account of what ran.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tenant = identity.TenantName("club")
		start := time.Unix(1000, 0)
		now := start
		share := TenantShare{
			Tenant:             tenant,
			TokensPerSecond:    rapid.Float64Range(10, 1000).Draw(t, "rate"),
			ConcurrentRequests: rapid.IntRange(1, 5).Draw(t, "concurrency"),
		}
		limits := NewLimits()
		limits.SetShares(now, []TenantShare{share})
		active, used, largest := 0, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				tokens := rapid.IntRange(1, 3000).Draw(t, "tokens")
				verdict, retryAfter := limits.Admit(now, tenant, tokens)
				assert.Equal(t, verdict != Admitted, retryAfter > 0)
				if verdict != Admitted {
					return
				}
				active++
				used += tokens
				largest = max(largest, tokens)
			},
			"release": func(t *rapid.T) {
				if active == 0 {
					return
				}
				active--
				limits.Release(now, tenant, 0, time.Second)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"set again": func(t *rapid.T) { limits.SetShares(now, []TenantShare{share}) },
			"": func(t *rapid.T) {
				assert.Assert(t, active <= share.ConcurrentRequests)
				assert.Equal(t, limits.Active(tenant), active)
				allowed := share.TokensPerSecond*(now.Sub(start)+burst).Seconds() + float64(largest) + 1
				assert.Assert(t, float64(used) <= allowed, "%d tokens used of %f", used, allowed)
			},
		})
	})
}

// TestRetryAfterIsTruthful comes back exactly when it was told to.
func TestRetryAfterIsTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		limits := NewLimits()
		rate := rapid.Float64Range(10, 1000).Draw(t, "rate")
		limits.SetShares(now, []TenantShare{{Tenant: "club", TokensPerSecond: rate}})
		tokens := rapid.IntRange(1, 5000).Draw(t, "tokens")
		for range 10_000 {
			verdict, retryAfter := limits.Admit(now, "club", tokens)
			if verdict == Admitted {
				continue
			}
			verdict, _ = limits.Admit(now.Add(retryAfter+time.Microsecond), "club", tokens)
			assert.Equal(t, verdict, Admitted)
			return
		}
		t.Fatal("the limit never refused")
	})
}
