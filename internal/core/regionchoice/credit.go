package regionchoice

import (
	"math"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// renewInterval is the minimum time between two capacity reports of a region that renew the
// credit. Two daemons of the region each report it several times a second.
const renewInterval = 200 * time.Millisecond

// Credit bounds how many requests one daemon sends to other regions: an equal share, among all
// daemons outside the region, of the capacity that the region last reported. It is safe for
// concurrent use. Create it with NewCredit.
type Credit struct {
	// random returns a number in [0, 1) that initializes the fraction of each credit. Daemons whose
	// share is below one request then do not all reach a whole request at the same time.
	random func() float64
	mutex  sync.Mutex
	byKey  map[creditKey]*credit
}

// creditKey identifies the credit for a service in a region.
type creditKey struct {
	service identity.ServiceName
	region  identity.Region
}

// credit is the number of requests that may still be sent on one capacity report.
type credit struct {
	reportedAt time.Time
	remaining  float64
	// fraction is the part of a request that was not granted yet, from 0 to 1. It carries over, so
	// that over many reports a daemon sends its share of the capacity plus at most one request.
	fraction float64
}

// renew replaces the credit by the daemon's share of a new capacity report.
func (c *credit) renew(reportedAt time.Time, part float64) {
	whole, fraction := math.Modf(part + c.fraction)
	c.reportedAt, c.remaining, c.fraction = reportedAt, whole, fraction
}

// NewCredit returns a Credit that uses random, a source of numbers in [0, 1).
func NewCredit(random func() float64) *Credit {
	return &Credit{random: random, byKey: map[creditKey]*credit{}}
}

// Take consumes the credit for one request. It returns false and consumes nothing if none is left.
// The region reported at reportedAt that it can accept free further requests; outside is the
// number of daemons in other regions.
func (c *Credit) Take(service identity.ServiceName, region identity.Region, reportedAt time.Time, free float64, outside int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := creditKey{service, region}
	found := c.byKey[key]
	if found == nil {
		found = &credit{fraction: c.random()}
		c.byKey[key] = found
	}
	if reportedAt.Sub(found.reportedAt) >= renewInterval {
		found.renew(reportedAt, free/float64(max(outside, 1)))
	}
	if found.remaining < 1 {
		return false
	}
	found.remaining--
	return true
}
