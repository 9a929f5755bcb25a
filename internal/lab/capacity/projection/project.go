package projection

import (
	"github.com/lotusward/lotusward/internal/core/belief"
	"github.com/lotusward/lotusward/internal/core/claim"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/core/watch"
)

// Settings of today's daemon that rates follow from.
const (
	// pollsPerSecond and longestPoll are those of package daemon.
	pollsPerSecond     = 8
	longestPoll        = 2.0 // seconds
	refreshesPerSecond = 5
	ticksPerSecond     = 50
	listInterval       = 2.0 // seconds
	confirmInterval    = 0.7 // seconds
	// confirmCalls is a daemon's own question and those of its four children.
	confirmCalls = 5
	// leaseReadInterval is a quarter of the lease's duration of 10 s.
	leaseReadInterval = 2.5 // seconds
	planInterval      = 1.0 // seconds
	// shareTicks is one for each share.TickInterval.
	shareTicks     = 10
	claimRetention = 600 // seconds
	// callsPerClaim are a vote and a settlement for each replica.
	callsPerClaim = 2 * claim.GroupSize
	// noticeReceivers is that of package daemon.
	noticeReceivers = 16
	// datagramBytes are the headers of IP, UDP and a frame.
	datagramBytes = 28 + 38
	// segmentBytes are the TCP and IP headers of a call: two data segments and one
	// acknowledgement.
	segmentBytes = 3 * 52
	// showingChanges is how many changes of what is shown a restart makes: leaving,
	// gone, back, ready.
	showingChanges = 4
	// changesOfList is how many changes of the machine list a restart makes:
	// leaving, gone, back.
	changesOfList = 3
	// noticedShare is an assumption: the share of requests with enough uncached
	// tokens for a notice.
	noticedShare = 0.2
)

// Project works out the costs of one daemon, the busiest one where they differ.
func Project(sizes Sizes, budget Budget, slopes Slopes) Report {
	report := Report{Sizes: sizes, Budget: budget}
	report.Lines = append(report.Lines, Line{
		Role: "all", What: "an idle process with two peers: wake-ups, and a part of the lines below", Mechanism: "daemon", Group: Background, Resident: true,
		Cost: Cost{Core: slopes.Idle.Core.At(0), MemoryBytes: slopes.Idle.ResidentBytes.At(0)},
	})
	report.Lines = append(report.Lines, membershipLines(sizes, slopes)...)
	report.Lines = append(report.Lines, backendLines(sizes, slopes)...)
	report.Lines = append(report.Lines, configurationLines(sizes, slopes)...)
	report.Lines = append(report.Lines, placementLines(sizes, slopes)...)
	report.Lines = append(report.Lines, claimLines(sizes, slopes)...)
	report.Lines = append(report.Lines, fleetLines(sizes, slopes)...)
	report.Verdicts = verdicts(budget, report.Lines)
	return report
}

func verdicts(budget Budget, lines []Line) []Verdict {
	background := func(line Line) bool { return line.Group == Background }
	return []Verdict{
		judge("background, as built", budget, lines, background),
		judge("background and per request, as built", budget, lines, func(line Line) bool {
			return background(line) || line.Group == PerRequest
		}),
		judge("background and holder, as built", budget, lines, func(line Line) bool {
			return background(line) || line.Group == Holder
		}),
		judge("background without the lines to be changed", budget, lines, func(line Line) bool {
			return background(line) && line.Change == ""
		}),
	}
}

// calls is the cost of peer calls of which this daemon is one of the two ends.
func calls(slopes CallSlopes, rate float64) Cost {
	return Cost{
		Core:           rate * slopes.PeerSeconds.At(1) / 2,
		BytesPerSecond: rate * (slopes.PeerBytes.At(1) + segmentBytes),
	}
}

// gossip is the cost of a gossiping core with its datagrams: each is sent by one
// daemon and received by another, so both ends of one are this daemon's on average.
// Traffic is what its traffic grows with, and size what its memory grows with.
func gossip(slopes GossipSlopes, call CallSlopes, traffic, size float64) Cost {
	return Cost{
		Core:           slopes.Core.At(traffic) + slopes.SentPerSecond.At(traffic)*call.DatagramSeconds.At(1),
		MemoryBytes:    slopes.MemoryBytes.At(size),
		BytesPerSecond: slopes.BytesPerSecond.At(traffic),
	}
}

func membershipLines(sizes Sizes, slopes Slopes) []Line {
	daemons := float64(sizes.Daemons)
	return []Line{{
		Role: "membership", What: "probes, gossip, digests; facts of an ordinary day", Mechanism: "core/membership, daemon/gossip",
		Group: Background, Cost: gossip(slopes.Membership, slopes.Call, daemons, daemons),
	}}
}

func backendLines(sizes Sizes, slopes Slopes) []Line {
	runners := float64(sizes.Runners)
	back := slopes.Backends
	watched := sizes.perDaemon(runners * watch.WatchersPerBackend)
	polls := min(watched*2, pollsPerSecond)
	polls = max(polls, watched/longestPoll)
	changes := sizes.machineChangesPerSecond() * showingChanges
	listChanges := min(sizes.machineChangesPerSecond()*changesOfList, 1/listInterval)
	return []Line{
		{Role: "back-end watching", What: "status questions, both ends counted", Mechanism: "daemon/backendwatch, core/watch", Group: Background, Rate: polls,
			Cost: Cost{Core: polls * back.PollSeconds.At(1), BytesPerSecond: polls * (back.PollBytes.At(1) + segmentBytes)}},
		{Role: "back-end watching", What: "sightings exchanged between daemons", Mechanism: "core/sighting, daemon/gossip", Group: Background,
			Cost: gossip(slopes.Sightings, slopes.Call, changes, runners)},
		{Role: "back-end watching", What: "merge of own reports", Mechanism: "core/registry, daemon/control", Group: Background, Rate: polls,
			Cost: Cost{Core: polls * back.MergeSeconds.At(runners)}},
		{Role: "back-end watching", What: "look for silence at all back ends", Mechanism: "core/registry, daemon/control", Group: Background, Rate: refreshesPerSecond,
			Cost: Cost{Core: refreshesPerSecond * back.RefreshSeconds.At(runners)}},
		{Role: "back-end watching", What: "changes that show: scheduler and view", Mechanism: "core/registry, core/scheduler, core/view", Group: Background, Rate: changes,
			Cost: Cost{Core: changes * back.ChangeSeconds.At(runners), MemoryBytes: back.MemoryBytes.At(runners)}},
		{Role: "back-end watching", What: "assignment of watched back ends", Mechanism: "core/watch, daemon/backendwatch", Group: Background, Rate: 1 / listInterval,
			Cost: Cost{Core: back.AssignSeconds.At(runners) / listInterval}},
		{Role: "back-end watching", What: "machine list: asked if it changed", Mechanism: "adapter/machinehttp", Group: Background, Rate: 1 / listInterval,
			// The cost of the short answer is not measured: that of a status is taken.
			Cost: Cost{Core: back.PollSeconds.At(1) / listInterval, BytesPerSecond: (back.PollBytes.At(1) + segmentBytes) / listInterval}},
		{Role: "back-end watching", What: "machine list: whole after a change", Mechanism: "adapter/machinehttp, daemon/backendwatch", Group: Background, Rate: listChanges,
			Cost:   Cost{Core: listChanges * back.ListSeconds.At(runners), BytesPerSecond: listChanges * back.ListBytes.At(runners)},
			Change: "the platform's list should give the changes since a version"},
	}
}

func configurationLines(sizes Sizes, slopes Slopes) []Line {
	tenants := float64(sizes.Tenants)
	config := slopes.Configuration
	changes := sizes.changesPerSecond()
	applied := config.ApplySeconds.At(tenants) + config.ViewSeconds.At(tenants)
	pushes := Cost{
		Core:           changes * (revision.PushFanout + 1) * slopes.Call.PeerSeconds.At(1) / 2,
		BytesPerSecond: changes * (revision.PushFanout + 1) * (slopes.Call.PeerBytes.At(1) + config.ChangeBytes.At(1) + segmentBytes),
	}
	asks := slopes.Limits.AsksPerSecond.At(1)
	memory := config.DocumentBytes.At(tenants) + config.ViewBytes.At(tenants)
	return []Line{
		{Role: "configuration", What: "confirmations: own question and four children's", Mechanism: "core/revision, daemon/configuration", Group: Background, Rate: confirmCalls / confirmInterval,
			Cost: calls(slopes.Call, confirmCalls/confirmInterval)},
		{Role: "configuration", What: "pushes of changes by an inner daemon of the tree", Mechanism: "core/revision, daemon/configuration", Group: Background, Rate: changes * (revision.PushFanout + 1), Cost: pushes},
		{Role: "configuration", What: "apply and compile each change", Mechanism: "config/dynamic, core/view", Group: Background, Rate: changes,
			Cost: Cost{Core: changes * applied, MemoryBytes: memory}},
		{Role: "limits", What: "shares of all tenants, brought up to date each tick", Mechanism: "core/share, daemon/control", Group: PerRequest, Rate: shareTicks,
			Cost:   Cost{Core: slopes.Limits.AskingCore.At(1), MemoryBytes: slopes.Limits.MemoryBytes.At(tenants)},
			Change: "pass on only the shares that changed"},
		{Role: "limits", What: "asks for shares, sent and received", Mechanism: "core/share, daemon/gossip", Group: PerRequest, Rate: 2 * asks,
			Cost: Cost{
				Core:           asks * slopes.Call.DatagramSeconds.At(1),
				BytesPerSecond: 2 * asks * (slopes.Limits.AskBytes.At(1) + datagramBytes),
			},
			Change: "ask once until the answer or its time-out, several tenants in a message, and admit a request by a burst first"},
	}
}

func placementLines(sizes Sizes, slopes Slopes) []Line {
	runners := float64(sizes.Runners)
	requests := sizes.perDaemon(sizes.RequestsPerSecond)
	events := sizes.perDaemon(sizes.CacheEventsPerSecond * watch.WatchersPerBackend)
	notices := requests * noticedShare * noticeReceivers
	place := slopes.Placement
	return []Line{
		{Role: "placement", What: "decisions, first tokens and ends", Mechanism: "core/scheduler, core/placement", Group: PerRequest, Rate: requests,
			Cost: Cost{Core: requests * place.RequestSeconds.At(runners)}},
		{Role: "placement", What: "ticks of the scheduler", Mechanism: "core/scheduler, daemon/control", Group: Background, Rate: ticksPerSecond,
			Cost: Cost{Core: ticksPerSecond * place.TickSeconds.At(runners)}},
		{Role: "belief", What: "entries up to the bound, not sharded", Mechanism: "core/belief", Group: Background,
			Cost: Cost{MemoryBytes: belief.DefaultMaxEntries * place.EntryBytes.At(1)}},
		{Role: "belief", What: "shard of a whole index in each zone", Mechanism: "none yet", Group: Planned,
			Cost: Cost{MemoryBytes: sizes.perDaemon(sizes.CachedBlocks/belief.BlocksPerCheckpoint*float64(sizes.Zones)) * place.EntryBytes.At(1)}},
		{Role: "belief", What: "cache events of the watched engines", Mechanism: "daemon/backendwatch, core/belief", Group: Background, Rate: events,
			Cost:   Cost{Core: events * place.EventSeconds.At(1), BytesPerSecond: events * place.EventBytes.At(1)},
			Change: "cache_events: off; belief from own placements and answers, or a sample of the events"},
		{Role: "placement", What: "notices of placements, sent and received", Mechanism: "core/scheduler (Sharing), daemon", Group: PerRequest, Rate: 2 * notices,
			Cost: Cost{
				Core:           notices * (place.NoticeSeconds.At(1) + slopes.Call.DatagramSeconds.At(1)),
				BytesPerSecond: 2 * notices * (place.NoticeBytes.At(1) + datagramBytes),
			},
			Change: "tell only the daemons that serve the prefix root, and shorter"},
	}
}

func claimLines(sizes Sizes, slopes Slopes) []Line {
	claims := sizes.perDaemon(sizes.RequestsPerSecond * sizes.KeyedShare)
	// A claim has one coordinator and three replicas: as one end or the other a
	// daemon takes part in twice the calls of its own claims.
	cost := calls(slopes.Call, 2*callsPerClaim*claims)
	cost.Core += claims * slopes.Claims.DecisionSeconds.At(1)
	cost.MemoryBytes = claims * claim.GroupSize * claimRetention * slopes.Claims.MemoryBytes.At(1)
	rosters := sizes.machineChangesPerSecond() * float64(sizes.Daemons) / float64(sizes.Daemons+sizes.Runners)
	return []Line{{
		Role: "claims", What: "replica groups at each change of the roster", Mechanism: "core/claim", Group: Background, Rate: rosters,
		Cost: Cost{Core: rosters * slopes.Claims.GroupsSeconds.At(1)},
	}, {
		Role: "claims", What: "votes and settlements, coordinator and replica", Mechanism: "core/claim, daemon/claims", Group: PerRequest, Rate: claims, Cost: cost,
		Change: "messages of one peer batched in one call, without HTTP headers",
	}}
}

func fleetLines(sizes Sizes, slopes Slopes) []Line {
	runners := float64(sizes.Runners)
	connections := 2 * float64(sizes.Daemons-1) * slopes.Call.ConnectionBytes.At(1)
	return []Line{
		{Role: "leases", What: "reads of the lease's row by a candidate, as a small call", Mechanism: "core/lease, daemon/leasekeeper", Group: Holder, Rate: 1 / leaseReadInterval,
			Cost: calls(slopes.Call, 1/leaseReadInterval)},
		{Role: "fleet controller", What: "status questions to all back ends", Mechanism: "daemon/fleetkeeper", Group: Holder, Rate: runners / planInterval,
			Cost: Cost{
				Core:           runners / planInterval * slopes.Backends.PollSeconds.At(1),
				BytesPerSecond: runners / planInterval * (slopes.Backends.PollBytes.At(1) + segmentBytes),
			},
			Change: "plan on the sightings that every daemon has, and ask only the back ends to be ordered"},
		{Role: "fleet controller", What: "plan for all engines", Mechanism: "core/controller", Group: Holder, Rate: 1 / planInterval,
			Cost:   Cost{Core: slopes.Controller.PlanSeconds.At(runners) / planInterval},
			Change: "plan on changes and every few seconds, one service at a time"},
		{Role: "all", What: "a kept connection to and from every daemon", Mechanism: "adapter/peer", Group: Background,
			Cost: Cost{MemoryBytes: connections}},
	}
}
