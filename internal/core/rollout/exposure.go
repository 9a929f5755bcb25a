package rollout

import "github.com/lotusward/lotusward/internal/core/rendezvous"

const (
	// usedShare is the part of the allowed share that is used. It leaves a fifth for requests
	// that the service gets and this daemon doesn't count: second sendings, and those that are
	// sent to the stable version but don't reach it.
	usedShare = 0.8
	// maximumCredit bounds what is kept for later, in requests. A target whose back ends are all
	// busy for a while doesn't get a burst afterwards.
	maximumCredit = 3
)

// Exposure is one daemon's credit for one service and order: it earns a fraction of a request to
// the target with each request to the stable version, on each route for itself, so that the
// target's share of all sendings stays below a bound without asking anybody. Make it with
// NewExposure; it isn't safe for use by several goroutines.
type Exposure struct {
	perRequest float64
	start      float64
	credits    map[string]float64
}

// NewExposure makes an Exposure that keeps a share (0 to 1) of all requests. Each route's credit
// starts with a fraction of a request that follows from start (0 to 1, to be drawn at random):
// daemons that earn less than one request each give their share on average.
func NewExposure(share float64, start float64) *Exposure {
	used := min(max(share, 0), 1) * usedShare
	return &Exposure{perRequest: used / (1 - used), start: start, credits: map[string]float64{}}
}

// Earn notes a sending to the stable version.
func (e *Exposure) Earn(route string) { e.add(route, e.perRequest) }

// TryTake takes the credit for one sending to the target. It returns false, and takes nothing,
// where there is too little.
func (e *Exposure) TryTake(route string) bool {
	credit := e.credit(route)
	if credit < 1 {
		return false
	}
	e.credits[route] = credit - 1
	return true
}

// Return gives back what was taken for a request that was not sent.
func (e *Exposure) Return(route string) { e.add(route, 1) }

func (e *Exposure) add(route string, amount float64) {
	e.credits[route] = min(e.credit(route)+amount, maximumCredit)
}

// credit is what a route has. The fractions that routes start with differ, so that their errors
// don't add up.
func (e *Exposure) credit(route string) float64 {
	if credit, found := e.credits[route]; found {
		return credit
	}
	return fraction(e.start + fraction(float64(rendezvous.Key(route)>>32)/(1<<32)))
}

// fraction is the part of a positive number behind the point.
func fraction(number float64) float64 { return number - float64(int(number)) }
