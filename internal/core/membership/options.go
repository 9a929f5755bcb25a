package membership

import "time"

// Options are the settable times and sizes of a node.
type Options struct {
	// ProbeInterval is the time between two probes by one daemon. A probe that is
	// unanswered for this long makes its target suspected.
	ProbeInterval time.Duration
	// DirectTimeout is how long a direct answer is waited for before helpers are asked.
	DirectTimeout time.Duration
	// RetryAfter is how long a direct answer is waited for before the ping is sent
	// once more.
	RetryAfter time.Duration
	// Helpers is how many members are asked to probe in this daemon's place.
	Helpers int
	// CrossZoneEvery makes each such probe go outside the own zone.
	CrossZoneEvery int
	// SuspicionTimeout is how long a suspected member has to refute. It must cover
	// a pause that is to be survived plus the spread of the refutation.
	SuspicionTimeout time.Duration
	// PauseThreshold is the gap between two calls that counts as a pause of this
	// process itself; deadlines are moved by the gap.
	PauseThreshold time.Duration

	// GossipInterval is the time between two rounds of gossip, each to Fanout
	// members, of which ZoneFanout are in the own zone.
	GossipInterval time.Duration
	Fanout         int
	ZoneFanout     int
	// UrgentTransmits and ConfirmTransmits, each with the natural logarithm of the
	// number of members added, are how often a daemon sends a fact on. A fact sent
	// on k times by everyone misses a member with a chance of about exp(-k). Urgent
	// are leaving back ends and changes of members; confirmations and joins are
	// many, and repaired by exchanges.
	UrgentTransmits  int
	ConfirmTransmits int
	// LoadTransmits is how often a zone's load summary is sent on.
	LoadTransmits int
	// GossipBytes bounds the facts in gossip, in bytes a second; GossipBurst is how
	// many bytes may be saved up.
	GossipBytes int
	GossipBurst int

	// SyncInterval is the time between two digest exchanges by one daemon.
	SyncInterval time.Duration
	// AbsentInterval is the time between two pings of dead members by one daemon,
	// by which halves find each other after a partition.
	AbsentInterval time.Duration
	// ConfirmAfter is how long after a new revision came into force here an
	// exchange is made if it is not known to be in force everywhere. It waits up to
	// as long again while many confirmations are still on their way. ConfirmTries
	// bounds the exchanges for one revision.
	ConfirmAfter time.Duration
	ConfirmTries int
	// JoinInterval is the time between two tries to reach a seed before joining.
	JoinInterval time.Duration
	// RoundInterval is the time between two rounds of contact evidence.
	RoundInterval time.Duration
	// MinimumMembers is the size below which a known membership is not believed to
	// be all: a majority is counted of at least this many. Zero asks for none.
	MinimumMembers int

	// DeadRetention is how long dead and left members are remembered in full. Dead
	// ones count in the majority for this long, so that a minority cannot take
	// itself for all.
	DeadRetention time.Duration
	// TombstoneRetention is how long it is remembered that a member is forgotten.
	TombstoneRetention time.Duration
	// BackendRetention is how long a fact about a back end is remembered.
	BackendRetention time.Duration
}

// DefaultOptions returns the values that the figures in
// docs/design/membership.md were measured with.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:      time.Second,
		DirectTimeout:      400 * time.Millisecond,
		RetryAfter:         200 * time.Millisecond,
		Helpers:            3,
		CrossZoneEvery:     4,
		SuspicionTimeout:   4 * time.Second,
		PauseThreshold:     500 * time.Millisecond,
		GossipInterval:     250 * time.Millisecond,
		Fanout:             3,
		ZoneFanout:         1,
		UrgentTransmits:    8,
		ConfirmTransmits:   2,
		LoadTransmits:      4,
		GossipBytes:        5000,
		GossipBurst:        16000,
		SyncInterval:       20 * time.Second,
		AbsentInterval:     10 * time.Second,
		ConfirmAfter:       2 * time.Second,
		ConfirmTries:       3,
		JoinInterval:       time.Second,
		RoundInterval:      1500 * time.Millisecond,
		DeadRetention:      2 * time.Hour,
		TombstoneRetention: 24 * time.Hour,
		BackendRetention:   2 * time.Hour,
	}
}
