package sighting

import "time"

// Options are the settable times and sizes of an exchange.
type Options struct {
	// GossipInterval is the time between two rounds of pushed deltas, each to
	// Fanout daemons, of which ZoneFanout are in the own zone.
	GossipInterval time.Duration
	// HurriedGossip is how soon news is pushed when the last round is long ago.
	HurriedGossip time.Duration
	Fanout        int
	ZoneFanout    int
	// Rounds is in how many rounds a daemon pushes a delta; each time that another
	// daemon sends what is known already counts as one.
	Rounds int
	// PushExpiry is for how long news is pushed at most.
	PushExpiry time.Duration
	// GossipBytes bounds the pushed deltas, in bytes a second over all targets;
	// GossipBurst is how many bytes may be saved up.
	GossipBytes int
	GossipBurst int
	// LoadInterval is the time between two tellings of loads, longer if LoadBytes, in
	// bytes a second over all targets, would not allow it.
	LoadInterval time.Duration
	LoadBytes    int
	// SyncInterval is the time between two comparisons of digests by one daemon.
	SyncInterval time.Duration
	// CrossZoneEvery makes each such comparison go outside the own zone.
	CrossZoneEvery int
	// WithdrawalRetention is for how many changes of a report withdrawals are
	// remembered. Who is further behind gets the whole report.
	WithdrawalRetention uint64
}

// DefaultOptions returns the values that the figures in
// docs/design/back-end-watching.md were measured with.
func DefaultOptions() Options {
	return Options{
		GossipInterval:      200 * time.Millisecond,
		HurriedGossip:       20 * time.Millisecond,
		Fanout:              4,
		ZoneFanout:          2,
		Rounds:              4,
		PushExpiry:          2 * time.Second,
		GossipBytes:         5000,
		GossipBurst:         20000,
		LoadInterval:        500 * time.Millisecond,
		LoadBytes:           500,
		SyncInterval:        time.Second,
		CrossZoneEvery:      4,
		WithdrawalRetention: 256,
	}
}
