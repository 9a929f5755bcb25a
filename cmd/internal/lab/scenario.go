// Package lab runs real daemons of lotusward before stand-ins in one process, plays the
// load of events before them and prints what came of it. It serves the demo and
// experiments with placements.
package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

// class is a kind of request.
type class struct {
	path string
	// perSecond is how many come a second, of all callers.
	perSecond float64
	// things is how many shared parts there are; requests ask for one of them, the first
	// ones more often.
	things                                int
	sharedTokens, ownTokens, answerEvents int
	unsafe                                bool
	target                                time.Duration
}

// prompt tells whether requests of the class are for a language model.
func (c class) prompt() bool { return c.ownTokens > 0 }

// Scenario is a deployment with its load, scaled to a few runners on one machine.
type Scenario struct {
	Name    string
	engines int
	// readTokensPerMs and capacityTokens are of each engine.
	readTokensPerMs float64
	capacityTokens  int
	classes         []class
}

// Scenarios are the shapes of the three users' deployments: how long prompts are, how much
// of them is shared, and how the kinds of request mix, from their own pages; the rates and
// the numbers of shared parts are scaled to the engines here.
var Scenarios = []Scenario{
	{
		Name: "race results", engines: 6, readTokensPerMs: 38, capacityTokens: 55_000,
		classes: []class{
			{path: "/recap/", perSecond: 20, things: 30, sharedTokens: 6300, ownTokens: 2890, answerEvents: 13, target: 800 * time.Millisecond},
			{path: "/ask/", perSecond: 30, things: 8, sharedTokens: 198, ownTokens: 628, answerEvents: 40, target: 600 * time.Millisecond},
			{path: "/post/", perSecond: 12, unsafe: true, target: 300 * time.Millisecond},
		},
	},
	{
		Name: "recipes", engines: 6, readTokensPerMs: 50, capacityTokens: 80_000,
		classes: []class{
			{path: "/recap/", perSecond: 12, things: 24, sharedTokens: 13300, ownTokens: 3720, answerEvents: 30, target: 800 * time.Millisecond},
			{path: "/ask/", perSecond: 60, things: 8, sharedTokens: 92, ownTokens: 291, answerEvents: 11, target: 600 * time.Millisecond},
			{path: "/post/", perSecond: 20, unsafe: true, target: 150 * time.Millisecond},
		},
	},
	{
		Name: "seismograph feeds", engines: 5, readTokensPerMs: 57, capacityTokens: 50_000,
		classes: []class{
			{path: "/recap/", perSecond: 26, things: 30, sharedTokens: 6300, ownTokens: 2890, answerEvents: 9, target: 600 * time.Millisecond},
			{path: "/ask/", perSecond: 25, things: 8, sharedTokens: 198, ownTokens: 628, answerEvents: 40, target: 500 * time.Millisecond},
			{path: "/post/", perSecond: 10, unsafe: true, target: 300 * time.Millisecond},
		},
	},
}

// arrival is a request with when it comes, from the start of the load.
type arrival struct {
	at    time.Duration
	class class
	ask   standin.Ask
}

// arrivals draws the load of some seconds.
func (s Scenario) arrivals(luck *rand.Rand, length time.Duration) []arrival {
	var all []arrival
	for index, kind := range s.classes {
		for at := gap(luck, kind.perSecond); at < length; at += gap(luck, kind.perSecond) {
			id := fmt.Sprintf("%s-%d-%d", s.Name[:2], index, len(all))
			all = append(all, arrival{at: at, class: kind, ask: kind.draw(luck, id)})
		}
	}
	return all
}

// gap is the time to the next arrival of a Poisson process.
func gap(luck *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(luck.ExpFloat64() / perSecond * float64(time.Second))
}

// deadline is how long the callers wait.
const deadline = 10 * time.Second

func (c class) draw(luck *rand.Rand, id string) standin.Ask {
	ask := standin.Ask{Host: host, Path: c.path + "x", ID: id, Key: key, Unsafe: c.unsafe, Deadline: deadline}
	if !c.prompt() {
		return ask
	}
	// Of two draws the lesser one: the first things are asked for more often.
	thing := min(luck.IntN(c.things), luck.IntN(c.things))
	ask.Model, ask.SharedPart, ask.OwnPart = model, fmt.Sprintf("%x", thing+1), fmt.Sprintf("%x", luck.Uint64())
	ask.SharedTokens, ask.OwnTokens, ask.OutputTokens = c.sharedTokens, c.ownTokens, c.answerEvents
	return ask
}
