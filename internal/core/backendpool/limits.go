package backendpool

import "slices"

// Limits bound a back end's load for it to accept one more request. A back end over a limit is busy: further
// requests queue at the daemon, where they can still be sent to another back end and are ordered by priority. Zero
// means no bound.
type Limits struct {
	// Reading is the most outstanding prefill work ahead of the request, in tokens.
	Reading float64
	// Tokens is the bound on the total prompt length of the requests in flight, including the new one. A back end
	// keeps cached prefixes in the memory that remains; without room for these, every prompt is processed from
	// scratch and all requests slow down.
	Tokens float64
	// EnforceSlots makes a request wait while all slots of a back end are taken.
	EnforceSlots bool
}

// full reports whether all slots of a back end are taken. While the back end is reserved, its last slot counts as taken, and for a query
// that bounds the prefill work ahead all slots do: the request that it is reserved for may be waiting for that work.
func (e *entry) full(query Query) bool {
	taken := float64(e.inFlight) + e.others.InFlight
	if slices.Contains(query.ReservedSoftware, e.backend.Software) {
		if query.Limits.Reading > 0 {
			return true
		}
		taken++
	}
	return query.Limits.EnforceSlots && e.backend.Slots > 0 && taken >= float64(e.backend.Slots)
}

// busy reports whether a back end is over the query's load limits. One without load never is.
func (e *entry) busy(query Query) bool {
	limits := query.Limits
	if limits.Reading > 0 && e.reading+e.others.Reading > limits.Reading {
		return true
	}
	held := float64(e.tokens) + e.others.Tokens
	return limits.Tokens > 0 && held > 0 && held+float64(query.SharedTokens+query.OwnTokens) > limits.Tokens
}
