// Package admission holds the rules by which requests wait and are refused:
// start-time fair queueing between tenants, queues in that order, and each
// tenant's limits. It decides nothing about back ends.
package admission

import "github.com/lotusward/lotusward/internal/core/identity"

// FairClock gives each request its start tag by start-time fair queueing (Goyal,
// Vin and Cheng, 1996). Requests that start in the order of their tags share a
// back end's work by the weights of those tenants that have requests waiting,
// however many requests each of them has.
type FairClock struct {
	virtual [identity.PriorityClassCount]float64
	finish  map[flow]float64
}

// flow is the requests of one tenant in one priority class.
type flow struct {
	tenant identity.TenantName
	class  identity.PriorityClass
}

// maxFlows is how many flows are kept before those without debt are dropped.
const maxFlows = 1024

// NewFairClock makes a clock at virtual time zero.
func NewFairClock() *FairClock {
	return &FairClock{finish: make(map[flow]float64)}
}

// Tag charges a request of the given cost, in tokens, to its tenant and returns
// its start tag.
func (c *FairClock) Tag(tenant identity.TenantName, class identity.PriorityClass, weight, cost float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	key := flow{tenant: tenant, class: class}
	start := max(c.virtual[class], c.finish[key])
	c.finish[key] = start + cost/weight
	if len(c.finish) > maxFlows {
		c.dropIdle()
	}
	return start
}

// Refund takes back the charge of a request that never started.
func (c *FairClock) Refund(tenant identity.TenantName, class identity.PriorityClass, weight, cost float64) {
	if weight <= 0 {
		weight = 1
	}
	key := flow{tenant: tenant, class: class}
	if finish, found := c.finish[key]; found {
		c.finish[key] = max(c.virtual[class], finish-cost/weight)
	}
}

// Advance moves the virtual time of a class on to the least tag that waits, or
// to the tag of the request that started when none waits. It never goes back.
func (c *FairClock) Advance(class identity.PriorityClass, tag float64) {
	c.virtual[class] = max(c.virtual[class], tag)
}

// Virtual is the virtual time of a class: the tag that a tenant without debt gets.
func (c *FairClock) Virtual(class identity.PriorityClass) float64 { return c.virtual[class] }

func (c *FairClock) dropIdle() {
	for key, finish := range c.finish {
		if finish <= c.virtual[key.class] {
			delete(c.finish, key)
		}
	}
}
