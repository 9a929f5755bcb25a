package backendpool

// Limits bound what a back end may have under way to take one more request. A back
// end with more is busy: further requests wait at the daemon, where they can still go
// elsewhere, and where the most urgent goes first. Zero is no bound.
type Limits struct {
	// Reading is the most work that may wait to be read before the request, in tokens.
	Reading float64
	// Tokens is the most that the prompts under way may come to with the request's
	// own. A back end keeps cached parts in what they leave of its memory; without
	// room for these each prompt is read anew, and all become slower.
	Tokens float64
	// EnforceSlots is set if a request is to wait while all places of a back end are taken.
	EnforceSlots bool
}

// full tells whether all places of a back end are taken.
func (e *entry) full(query Query) bool {
	return query.Limits.EnforceSlots && e.backend.Slots > 0 && float64(e.inFlight)+e.others.InFlight >= float64(e.backend.Slots)
}

// busy tells whether a back end has too much under way for a query. One with nothing
// under way never is.
func (e *entry) busy(query Query) bool {
	limits := query.Limits
	if limits.Reading > 0 && e.reading+e.others.Reading > limits.Reading {
		return true
	}
	held := float64(e.tokens) + e.others.Tokens
	return limits.Tokens > 0 && held > 0 && held+float64(query.SharedTokens+query.OwnTokens) > limits.Tokens
}
