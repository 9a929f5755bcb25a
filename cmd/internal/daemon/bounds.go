package daemon

import (
	"time"

	"github.com/lotusward/lotusward/internal/relay"
	"github.com/lotusward/lotusward/internal/weightupdate"
	"github.com/lotusward/lotusward/platform"
)

// Shares of the bounds in the settings that the daemon allows itself.
const (
	// confirmationShare of the time in which a revoked key must stop working: later,
	// callers earn nothing for requests that this daemon lets in.
	confirmationShare = 0.8
	// softwareConfirmationShare of the time in which a bad version must stop getting requests is how
	// old the confirmation of what was declared may be while a service moves to another version:
	// the rest is for the way from the choice to the back end, and for clocks.
	softwareConfirmationShare = 0.8
	// softwareCheckShare of the same time is how often what was declared is checked at least: two
	// checks in a row may fail before requests are refused.
	softwareCheckShare = 0.2
	// assumedTimeout is how long requests of routes without a timeout are taken to last at most.
	assumedTimeout = time.Minute
	// denialShare of the time in which a configuration must be in force.
	denialShare = 0.6
	// versionMargin is taken off the time in which a named version must be in use, which counts
	// from when the version was surely not named yet: requests that wait at a back end are cut
	// relay.LastBegin later, and endOfCut is how long the cut takes to get there.
	versionMargin = relay.LastBegin + endOfCut
	// endOfCut covers the way to another region (20 ms), a busy daemon's timers, and readings of
	// the store that are of 100 ms earlier than they seem at most.
	endOfCut = 300 * time.Millisecond
	// startMargin covers the time from a process's start to its first reading of a clock: 4 ms on an
	// idle machine, 78 ms beside eight busy processes a core, 174 ms where 70 more start at once.
	startMargin = 200 * time.Millisecond
	// budgetShare of the retries that all daemons may make together.
	budgetShare = 0.7
	// limitMarginShare of what a tenant may exceed its limit by in a window is what it may use
	// beyond its burst. The rest is for the moments in which two daemons grant for it.
	limitMarginShare = 0.25
	// leaseShare of the time that must lie between two holders' orders: a new holder
	// waits for that time anyway, so the lease itself may be shorter.
	leaseShare = 0.7
	// actShare of the lease's duration is how long after a renewal orders may be given. A
	// renewal is due after a third.
	actShare = 0.5
	// updatePatienceShare of the time in which a named version must be in use is how long an update waits for the daemon
	// that is to begin it, and as long again until all others have tried: loads need most of the rest.
	updatePatienceShare = 0.125
	// impairedPatienceFactor times the same wait is how much later daemons begin an update that reach only some back ends.
	impairedPatienceFactor = 2
	// leastUpdatePatience holds where no such time is set.
	leastUpdatePatience = 250 * time.Millisecond
	// reachedIntervals is how many intervals of the daemon that reads for all its last news may be old while the store
	// counts as reached: another one takes over in that time.
	reachedIntervals = 4
	// leaseLinger is how long the lease is kept after the last work: its holder tells what it has loaded.
	leaseLinger = weightupdate.AnnounceDuration
	// checkShare of the time in which a configuration must be in force, and keyCheckShare
	// of the time in which a revoked key must stop working, are how often the daemon that
	// reads for all checks what operators declared: another one has to notice that it is
	// gone, and read, in the time that is left.
	checkShare    = 0.25
	keyCheckShare = 0.2
	// maximumDrift bounds how much steady clocks differ in rate.
	maximumDrift = 0.02
	retryAfter   = 250 * time.Millisecond
	sweepTime    = time.Second
	// clockCheckInterval is how often it is looked for suspensions that the time of day hides.
	clockCheckInterval = 250 * time.Millisecond
)

// checkInterval is how often the daemon that reads for all checks what operators declared.
func checkInterval(bounds platform.Bounds) time.Duration {
	interval := time.Duration(checkShare * float64(platform.Milliseconds(bounds.ConfigApplyMs)))
	if bounds.RevokeFailClosed && bounds.RevokeMs > 0 {
		interval = min(interval, time.Duration(keyCheckShare*float64(platform.Milliseconds(bounds.RevokeMs))))
	}
	if bounds.OffersRollouts() && bounds.RollbackMs > 0 {
		interval = min(interval, time.Duration(softwareCheckShare*float64(platform.Milliseconds(bounds.RollbackMs))))
	}
	return interval
}

// newsBound is how old what is known of operators' declarations may become: requests with keys, or of a service that moves
// to another version, are refused from then on, or a configuration must be in force.
func newsBound(bounds platform.Bounds) time.Duration {
	bound := platform.Milliseconds(bounds.ConfigApplyMs)
	if bounds.RevokeFailClosed && bounds.RevokeMs > 0 {
		bound = min(bound, time.Duration(confirmationShare*float64(platform.Milliseconds(bounds.RevokeMs))))
	}
	if bounds.OffersRollouts() && bounds.RollbackMs > 0 {
		bound = min(bound, softwareConfirmationLimit(bounds))
	}
	return bound
}

// quietTime is how long no daemon must have reached the store before failed calls show that it is
// disturbed: the time in which daemons in touch hear of each other, and that in which another one takes
// over from a reader that is gone.
func quietTime(bounds platform.Bounds) time.Duration {
	return platform.Milliseconds(bounds.ContactMs) + 2*checkInterval(bounds)
}

// versionGrace is how long requests may begin on older weights after a version was
// named.
func versionGrace(bounds platform.Bounds) time.Duration {
	named := platform.Milliseconds(bounds.VersionMs)
	return max(named-versionMargin, named/2)
}

// guessedNaming is when versions count as named that a daemon finds at its start and of which nobody
// tells: so long ago that their time is over when the daemon is held to it, which it is from the contact
// time after its start on. The same margin is taken off as from every version's time.
func guessedNaming(started time.Time, bounds platform.Bounds) time.Time {
	return started.Add(platform.Milliseconds(bounds.ContactMs-bounds.VersionMs) - startMargin)
}

// rest is the time that must lie between orders of two holders. Where back ends check
// fencing tokens, orders of an earlier holder do no harm.
func rest(bounds platform.Bounds) time.Duration {
	if bounds.FencingRequired {
		return 0
	}
	return platform.Milliseconds(bounds.LeaseMs)
}

// updatePatience is how long an update of weights waits for the daemon that is to begin it.
func updatePatience(bounds platform.Bounds) time.Duration {
	return max(time.Duration(updatePatienceShare*float64(platform.Milliseconds(bounds.VersionMs))), leastUpdatePatience)
}

// leaseDuration is how long a grant of the lease of weight updates lasts.
func leaseDuration(bounds platform.Bounds) time.Duration {
	return time.Duration(leaseShare * float64(platform.Milliseconds(bounds.LeaseMs)))
}

// softwareConfirmationLimit is how old the confirmation of what was declared may be while requests
// of a service that moves to another version are sent.
func softwareConfirmationLimit(bounds platform.Bounds) time.Duration {
	return time.Duration(softwareConfirmationShare * float64(platform.Milliseconds(bounds.RollbackMs)))
}

func policy(bounds platform.Bounds) relay.Policy {
	share := func(share float64, milliseconds int) time.Duration {
		return time.Duration(share * float64(platform.Milliseconds(milliseconds)))
	}
	chosen := relay.Policy{
		MaxConfirmationAgeForKeys:    time.Duration(1<<63 - 1),
		MaxConfirmationAgeForDenials: share(denialShare, bounds.ConfigApplyMs),
		VersionGrace:                 versionGrace(bounds),
		RetryAfter:                   retryAfter,
	}
	if bounds.RevokeFailClosed && bounds.RevokeMs > 0 {
		chosen.MaxConfirmationAgeForKeys = share(confirmationShare, bounds.RevokeMs)
	}
	return chosen
}
