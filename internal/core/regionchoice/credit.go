package regionchoice

import (
	"math"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// renewInterval is the least time between two tellings of a region's room that count: two
// daemons tell it, each some times a second.
const renewInterval = 200 * time.Millisecond

// Credit bounds what one daemon sends to other regions: of the room that a region tells, its
// part among all daemons outside that region, anew each time the region tells. It is safe for
// use by several goroutines. Make it with NewCredit.
type Credit struct {
	// random returns a number from 0 to 1, the fraction with which each account begins: daemons
	// whose part is less than one request don't all have a whole one at the same time.
	random func() float64
	mutex  sync.Mutex
	left   map[account]*credit
}

// account names the credit for a service in a region.
type account struct {
	service identity.ServiceName
	region  identity.Region
}

// credit is how many requests may go on what was told at a time.
type credit struct {
	toldAt time.Time
	left   float64
	// fraction is the part of a request that was not yet given, 0 to 1. It is carried on, so that
	// over many tellings a daemon sends its part of the room and at most one request more.
	fraction float64
}

// renew gives a daemon its part of the room that was told at a time.
func (c *credit) renew(toldAt time.Time, part float64) {
	whole, fraction := math.Modf(part + c.fraction)
	c.toldAt, c.left, c.fraction = toldAt, whole, fraction
}

// NewCredit makes a Credit with a source of random numbers from 0 to 1.
func NewCredit(random func() float64) *Credit {
	return &Credit{random: random, left: map[account]*credit{}}
}

// Take takes one request's room; it returns false, and takes nothing, where none is left. At
// toldAt the region told that it has room for free requests; outside is how many daemons are
// outside it.
func (c *Credit) Take(service identity.ServiceName, region identity.Region, toldAt time.Time, free float64, outside int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := account{service, region}
	found := c.left[key]
	if found == nil {
		found = &credit{fraction: c.random()}
		c.left[key] = found
	}
	if toldAt.Sub(found.toldAt) >= renewInterval {
		found.renew(toldAt, free/float64(max(outside, 1)))
	}
	if found.left < 1 {
		return false
	}
	found.left--
	return true
}
