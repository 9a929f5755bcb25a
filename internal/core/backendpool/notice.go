package backendpool

import "time"

// Notice is what a back end says of itself in an answer, beside the answer. The zero value says nothing.
type Notice struct {
	// Draining: it is about to end.
	Draining bool
	// RetryAfter is for how long it wants no requests from this daemon.
	RetryAfter time.Duration
}

// IsEmpty tells whether nothing is said.
func (n Notice) IsEmpty() bool { return n == Notice{} }
