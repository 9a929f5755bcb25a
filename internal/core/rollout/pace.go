package rollout

import "time"

// Pace tells slow first bytes by comparison with those of the stable version on the same route
// for as many tokens. Make it with NewPace; it isn't safe for use by several goroutines.
type Pace struct{}

// NewPace makes a Pace that has seen no answers, and calls none slow.
func NewPace() *Pace { return &Pace{} }

// Note takes in when the first byte of an answer of the stable version came, after the sending,
// and the tokens that the back end had to read.
func (p *Pace) Note(route string, took time.Duration, tokens int) {}

// Slow tells whether a first byte came late.
func (p *Pace) Slow(route string, took time.Duration, tokens int) bool { return false }
