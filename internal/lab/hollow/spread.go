package hollow

import (
	"fmt"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
)

// Times between the parts of a measurement.
const (
	spreadLimit   = 30 * time.Second
	betweenFacts  = 13 * time.Second
	isolationAge  = 4 * time.Second
	cutLength     = 60 * time.Second
	pauseLength   = time.Second
	watchInterval = 100 * time.Millisecond
)

// Spread holds how long a kind of fact took to come to each daemon.
type Spread struct {
	times  []time.Duration
	missed int
}

func (s *Spread) add(took time.Duration) { s.times = append(s.times, took) }

// quantile returns the time that a share of the daemons had the fact in.
func (s *Spread) quantile(share float64) time.Duration {
	if len(s.times) == 0 {
		return 0
	}
	slices.Sort(s.times)
	index := int(share * float64(len(s.times)-1))
	return s.times[index]
}

func (s *Spread) columns() []string {
	render := func(share float64) string { return fmt.Sprintf("%.2f", s.quantile(share).Seconds()) }
	return []string{render(0.5), render(0.99), render(1), fmt.Sprint(s.missed)}
}

// spread tells one fact and waits until it is everywhere, noting the time at each
// daemon for which arrived returns true.
func (f *fleet) spread(result *Spread, tell func(), arrived func(membership.Action) bool, holds func(*Host) bool) {
	start := f.network.now
	heard := map[*Host]bool{}
	f.reached = func(host *Host, action membership.Action) {
		if arrived(action) && !heard[host] {
			heard[host] = true
			result.add(f.network.now.Sub(start))
		}
	}
	tell()
	f.network.RunUntil(spreadLimit, func() bool { return f.each(holds) })
	f.reached = nil
	if !f.each(holds) {
		result.missed++
	}
}

// revisions measures how fast a revision is heard of, and how fast every daemon
// knows it to be in force on all.
func (f *fleet) revisions(count int) (heard, confirmed *Spread) {
	heard, confirmed = &Spread{}, &Spread{}
	for range count {
		f.network.Run(betweenFacts)
		var revision identity.Revision
		start := f.network.now
		f.spread(heard,
			func() { _, revision = f.change() },
			func(action membership.Action) bool {
				seen, is := action.(membership.HighestRevisionSeen)
				return is && seen.Revision == revision
			},
			func(host *Host) bool { return host.Node.HighestRevision() >= revision })
		f.confirmations(confirmed, revision, start)
	}
	return heard, confirmed
}

// confirmations notes when each daemon first knew the revision in force on all.
func (f *fleet) confirmations(confirmed *Spread, revision identity.Revision, start time.Time) {
	knows := map[*Host]bool{}
	f.network.RunUntil(spreadLimit, func() bool {
		return f.each(func(host *Host) bool {
			if knows[host] {
				return true
			}
			count, total, _ := host.Node.InForce(revision)
			if count == total {
				knows[host] = true
				confirmed.add(f.network.now.Sub(start))
			}
			return count == total
		})
	})
	if !f.each(func(host *Host) bool { return knows[host] }) {
		confirmed.missed++
	}
}

// leaves measures how fast the leave of a back end spreads.
func (f *fleet) leaves(count int) *Spread {
	result := &Spread{}
	for index := range count {
		f.network.Run(5 * time.Second)
		backend := identity.BackendID(fmt.Sprintf("engine-%d-%d", f.network.now.Unix(), index))
		f.spread(result,
			func() {
				f.anyHost().Node.ObserveBackend(f.network.now, membership.BackendFact{Backend: backend, Version: 1, Leaving: true})
			},
			func(action membership.Action) bool {
				leaving, is := action.(membership.BackendLeaving)
				return is && leaving.Fact.Backend == backend
			},
			func(host *Host) bool { return host.Node.KnowsBackend(backend) })
	}
	return result
}

// failures measures how fast daemons take a crashed one for dead. The crashed
// ones start again afterwards.
func (f *fleet) failures(count int) *Spread {
	result := &Spread{}
	for range count {
		f.network.Run(10 * time.Second)
		victim := f.anyHost()
		f.spread(result,
			victim.Crash,
			func(action membership.Action) bool {
				changed, is := action.(membership.MemberChanged)
				return is && changed.Member.ID == victim.ID && changed.Member.State == membership.StateDead
			},
			func(host *Host) bool {
				member, _ := host.Node.Member(victim.ID)
				return member.State == membership.StateDead
			})
		victim.Restart()
	}
	return result
}

// pauses stops daemons for a second each and counts those taken for dead.
func (f *fleet) pauses(count int) int {
	before := f.deaths
	for range count {
		f.anyHost().Pause(pauseLength)
		f.network.Run(300 * time.Millisecond)
	}
	f.network.Run(10 * time.Second)
	return f.deaths - before
}

// Cut is what came of a partition.
type Cut struct {
	// Isolated is when the last daemon of the minority had no contact with a
	// majority for isolationAge, after the cut.
	Isolated time.Duration
	// WrongContact counts looks at minority daemons that later claimed contact.
	WrongContact int
	// WorstAge is the oldest contact of a majority daemon while the cut lasted.
	WorstAge time.Duration
	// Healed is when all knew all to be live, after the end of the cut.
	Healed time.Duration
	Agreed bool
}

// cut parts those for which minority returns true from the rest for a minute.
func (f *fleet) cut(minority func(*Host) bool) Cut {
	var result Cut
	start := f.network.now
	f.network.Cut = func(from, to *Host) bool { return minority(from) != minority(to) }
	for f.network.now.Sub(start) < cutLength {
		f.network.Run(watchInterval)
		f.watchContact(&result, minority, start)
	}
	f.network.Cut = nil
	size := len(f.network.Hosts())
	result.Healed, result.Agreed = f.network.RunUntil(5*time.Minute, func() bool {
		return f.each(func(host *Host) bool {
			_, live, _ := host.Node.InForce(0)
			return live == size
		})
	})
	return result
}

func (f *fleet) watchContact(result *Cut, minority func(*Host) bool, start time.Time) {
	for _, host := range f.network.Hosts() {
		age := f.network.now.Sub(host.Node.MajorityContactAt())
		if !minority(host) {
			result.WorstAge = max(result.WorstAge, age)
			continue
		}
		since := f.network.now.Sub(start)
		if age < isolationAge {
			result.Isolated = max(result.Isolated, since)
			if since > 2*isolationAge {
				result.WrongContact++
			}
		}
	}
}
