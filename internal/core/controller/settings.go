package controller

import "time"

// Settings are the controller's times and limits.
type Settings struct {
	// OrderLifetime is the longest that an order can be on its way. An order
	// whose answer was lost counts as coming for so long.
	OrderLifetime time.Duration
	// RetryInterval is the pause before an order that was refused is repeated.
	RetryInterval time.Duration
	// MinimumDwell is how long an engine keeps a model before it is given another.
	MinimumDwell time.Duration
	// WithdrawDelay is how long what an event or demand needed is kept after the
	// need has ended.
	WithdrawDelay time.Duration
	// PreloadMargin is how long before an event's start its models are to be
	// ready, so that its prefixes can be computed.
	PreloadMargin time.Duration
	// LoadDuration is how long one load takes until the controller has seen some.
	LoadDuration time.Duration
	// LoadTimeout is how long a load that an engine accepted may take until the
	// order is repeated. A new holder waits as long for an engine that doesn't take
	// its orders before it lets others load.
	LoadTimeout time.Duration
	// RequestsPerEngine is how many running and waiting requests one engine of a
	// model is meant to have.
	RequestsPerEngine int
}

// DefaultSettings returns the times and limits used when nothing else is set.
func DefaultSettings() Settings {
	return Settings{
		OrderLifetime:     10 * time.Second,
		RetryInterval:     5 * time.Second,
		MinimumDwell:      30 * time.Second,
		WithdrawDelay:     2 * time.Minute,
		PreloadMargin:     time.Minute,
		LoadDuration:      time.Second,
		LoadTimeout:       time.Minute,
		RequestsPerEngine: 16,
	}
}
