// Package prewarm decides which declared prompt prefixes are computed on engines
// before an event's window opens. It is pure.
package prewarm

import (
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

const (
	// Lead is how long before an event's start its prefixes are first computed.
	// Engines evict within seconds, so it is short.
	Lead = 10 * time.Second
	// RepeatAfter is how soon a prefix is asked for again, so that it is still held
	// when the window opens. Where it is held this costs next to nothing.
	RepeatAfter = 3 * time.Second
)

// Task asks to have one prefix computed on some engines.
type Task struct {
	Event  string
	Prefix dynamic.EventPrefix
	// Engines is on how many different engines.
	Engines int
}

// key names a task over its repeats. An event that is moved is a new one.
type key struct {
	event  string
	start  int64
	prefix dynamic.EventPrefix
}

// Planner remembers what has been asked for. It is owned by one goroutine.
type Planner struct {
	askedAt map[key]time.Time
}

// NewPlanner makes a planner that has asked for nothing.
func NewPlanner() *Planner {
	return &Planner{askedAt: make(map[key]time.Time)}
}

// Due returns the tasks that are due now and takes them for asked for.
func (p *Planner) Due(now time.Time, document *dynamic.Document) []Task {
	asked := make(map[key]time.Time)
	var tasks []Task
	for index := range document.Events {
		event := &document.Events[index]
		if now.Before(event.Start.Add(-Lead)) || !now.Before(event.Start) {
			continue
		}
		for _, prefix := range event.Prefixes {
			named := key{event: event.Name, start: event.Start.UnixNano(), prefix: prefix}
			last, before := p.askedAt[named]
			if before && now.Sub(last) < RepeatAfter {
				asked[named] = last
				continue
			}
			asked[named] = now
			tasks = append(tasks, Task{Event: event.Name, Prefix: prefix, Engines: enginesFor(event, prefix.Model)})
		}
	}
	p.askedAt = asked
	return tasks
}

// enginesFor divides the engines that the event needs for a model among the
// prefixes that it declares for it.
func enginesFor(event *dynamic.Event, model identity.ModelName) int {
	engines, prefixes := 0, 0
	for _, needed := range event.Models {
		if needed.Model == model {
			engines += needed.Engines
		}
	}
	for _, declared := range event.Prefixes {
		if declared.Model == model {
			prefixes++
		}
	}
	return max(1, engines/max(1, prefixes))
}
