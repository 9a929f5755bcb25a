package rollout

import "github.com/lotusward/lotusward/internal/core/rendezvous"

const (
	// usedShare is the fraction of the allowed share that is used. The remaining fifth is reserved for requests
	// that the service gets and this daemon doesn't count: retries, and requests that are sent to the stable
	// version but don't reach it.
	usedShare = 0.8
	// maximumCredit bounds the unused credit, in requests, so that a target whose back ends were all busy for a
	// while doesn't get a burst afterwards.
	maximumCredit = 3
)

// Exposure limits one daemon's requests to the target of one order. On each route, each request to the stable
// version earns a fraction of a request to the target, so that the target's share of all requests stays below a
// bound without coordination between daemons. Make it with NewExposure; it isn't safe for concurrent use.
type Exposure struct {
	perRequest float64
	start      float64
	credits    map[string]float64
}

// NewExposure makes an Exposure that allows the target a share (0 to 1) of all requests. The initial credit of
// each route is a fraction of a request that is derived from start (0 to 1, to be drawn at random), so that
// daemons with too few requests to earn a whole one still contribute their share on average.
func NewExposure(share float64, start float64) *Exposure {
	used := min(max(share, 0), 1) * usedShare
	return &Exposure{perRequest: used / (1 - used), start: start, credits: map[string]float64{}}
}

// Earn adds the credit for one request that was sent to the stable version.
func (e *Exposure) Earn(route string) { e.add(route, e.perRequest) }

// TryTake takes the credit for one request to the target. It returns false, and takes nothing, if the credit is
// too low.
func (e *Exposure) TryTake(route string) bool {
	credit := e.credit(route)
	if credit < 1 {
		return false
	}
	e.credits[route] = credit - 1
	return true
}

// Return gives back the credit of a request that wasn't sent.
func (e *Exposure) Return(route string) { e.add(route, 1) }

func (e *Exposure) add(route string, amount float64) {
	e.credits[route] = min(e.credit(route)+amount, maximumCredit)
}

// credit returns the credit of a route. The initial fractions differ between routes, so that their rounding
// errors don't add up.
func (e *Exposure) credit(route string) float64 {
	if credit, found := e.credits[route]; found {
		return credit
	}
	return fraction(e.start + fraction(float64(rendezvous.Key(route)>>32)/(1<<32)))
}

// fraction returns the fractional part of a positive number.
func fraction(number float64) float64 { return number - float64(int(number)) }
