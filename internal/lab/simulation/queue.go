package simulation

import (
	"container/heap"
	"time"
)

// timer is something that happens at a time.
type timer struct {
	at    time.Time
	order uint64
	run   func()
}

// timerQueue is a heap of timers by time; timers of one time keep their order,
// so that a run is the same each time.
type timerQueue struct {
	timers []timer
	count  uint64
}

// Len implements heap.Interface.
func (q *timerQueue) Len() int { return len(q.timers) }

// Less implements heap.Interface.
func (q *timerQueue) Less(i, j int) bool {
	if !q.timers[i].at.Equal(q.timers[j].at) {
		return q.timers[i].at.Before(q.timers[j].at)
	}
	return q.timers[i].order < q.timers[j].order
}

// Swap implements heap.Interface.
func (q *timerQueue) Swap(i, j int) { q.timers[i], q.timers[j] = q.timers[j], q.timers[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(added any) { q.timers = append(q.timers, added.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(q.timers) - 1
	popped := q.timers[last]
	q.timers[last] = timer{}
	q.timers = q.timers[:last]
	return popped
}

func (q *timerQueue) add(at time.Time, run func()) {
	q.count++
	heap.Push(q, timer{at: at, order: q.count, run: run})
}

func (q *timerQueue) next() timer { return heap.Pop(q).(timer) }
