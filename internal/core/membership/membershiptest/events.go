package membershiptest

import "time"

// event is something that happens at a host at a time.
type event struct {
	at       time.Time
	sequence uint64
	host     *Host
	// life is the host's life that a tick is meant for. Messages reach whoever
	// listens on the address when they come.
	life     int
	tick     bool
	delivery delivery
}

// eventHeap orders events by time, and those of one time by their making.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(left, right int) bool {
	if !h[left].at.Equal(h[right].at) {
		return h[left].at.Before(h[right].at)
	}
	return h[left].sequence < h[right].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(left, right int) { h[left], h[right] = h[right], h[left] }

// Push implements heap.Interface.
func (h *eventHeap) Push(added any) { *h = append(*h, added.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return popped
}
