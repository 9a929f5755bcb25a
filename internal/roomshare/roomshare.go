// Package roomshare exchanges the free capacity of regions between daemons, if there are several regions. In each
// region two daemons estimate the load of its back ends from a sample and send it to two daemons of each other
// region several times a second. A daemon that is about to send a request to another region queries those of its
// own region.
package roomshare

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// exchangersPerRegion is how many daemons send and receive reports for a region: with two, one may fail.
	exchangersPerRegion = 2
	// sendInterval is how often a region's capacity is sent. Requests take half a second or more, so that it
	// changes little in between.
	sendInterval = 250 * time.Millisecond
	// sampledBackends is how many back ends are queried for their load before each report: 30 back ends are all
	// covered within a second.
	sampledBackends = 8
	// minQueryInterval is the minimum time between two queries; earlier requests use the reports at hand.
	minQueryInterval = 200 * time.Millisecond
	// answerTimeout is how long a request waits for an answer from its own region. Zones may be further apart than
	// that: a later answer serves the requests after it.
	answerTimeout = 10 * time.Millisecond
	// reportTTL is how long a region counts as reachable after its last report.
	reportTTL = 1500 * time.Millisecond
)

// Options configures a Sharer.
type Options struct {
	Link peerlink.Carrier
	// Others returns the addresses of the other daemons, in a new slice whenever the description of one of them
	// changes. Zone returns the zone of a daemon, or an empty string if unknown.
	Others func() []string
	Zone   func(address string) identity.Zone
	// Capacity returns the positive capacity of a daemon's machine relative to others.
	Capacity func(address string) float64
	// OwnZone is this daemon's zone.
	OwnZone   identity.Zone
	Distances distance.Map
	Pool      *backendpool.Pool
	// Refresh updates the pool with the loads of back ends, given the hashes of their IDs. It is nil if the pool
	// is always up to date.
	Refresh func(ctx context.Context, keys []uint64)
}

// Sharer sends the capacity of its own region and receives that of the others. It is safe for concurrent use.
type Sharer struct {
	options   Options
	ownRegion identity.Region
	questions *peerlink.Questions[answerMessage]
	groups    *peerlink.Groups

	mutex   sync.Mutex
	reports map[identity.Region]capacityReport
	// lastQueryAt is when the last query was sent.
	lastQueryAt time.Time
}

// capacityReport is the last report of a region and when it was first received.
type capacityReport struct {
	message capacityMessage
	at      time.Time
}

// New creates a Sharer and registers its message handlers. Reports are sent while Run is active.
func New(options Options) *Sharer {
	made := &Sharer{
		options: options, ownRegion: options.Distances.Region(options.OwnZone),
		questions: peerlink.NewQuestions[answerMessage](), reports: map[identity.Region]capacityReport{},
	}
	made.groups = peerlink.NewGroups(options.Link.Address(), made.region)
	peerlink.HandleDecoded(options.Link, peerlink.KindRoom, made.receiveCapacity)
	peerlink.HandleDecoded(options.Link, peerlink.KindRoomQuestion, made.receiveQuestion)
	peerlink.HandleDecoded(options.Link, peerlink.KindRoomAnswer, made.receiveAnswer)
	return made
}

// Run sends the capacity of the own region until the context ends.
func (s *Sharer) Run(ctx context.Context) error {
	if !s.options.Distances.HasSeveralRegions() {
		<-ctx.Done()
		return nil
	}
	pause.Every(ctx, sendInterval, func(time.Time) { s.sendCapacity(ctx) })
	return nil
}

// sendCapacity sends the capacity of the own region to the exchangers of each other region, if this daemon is an
// exchanger.
func (s *Sharer) sendCapacity(ctx context.Context) {
	if !slices.Contains(s.exchangers(s.ownRegion), s.options.Link.Address()) {
		return
	}
	if s.options.Refresh != nil {
		s.options.Refresh(ctx, s.options.Pool.SampleRegion(s.ownRegion, sampledBackends))
	}
	message := s.ownCapacity()
	datagram, fits := s.options.Link.Encode(peerlink.KindRoom, &message)
	if !fits {
		return
	}
	for region := range s.byRegion() {
		if region == s.ownRegion || region == "" {
			continue
		}
		for _, exchanger := range s.exchangers(region) {
			s.options.Link.Send(exchanger, datagram)
		}
	}
}

// ownCapacity returns the capacity of the own region.
func (s *Sharer) ownCapacity() capacityMessage {
	message := capacityMessage{Region: s.ownRegion}
	for _, service := range s.options.Pool.Services() {
		for _, capacity := range s.options.Pool.RegionCapacities(clock.Now(), service) {
			if capacity.Region == s.ownRegion {
				message.Services = append(message.Services, newServiceCapacity(service, capacity))
			}
		}
	}
	return message
}

// byRegion returns the daemons by region. The result must not be modified.
func (s *Sharer) byRegion() map[identity.Region][]string {
	return s.groups.Of(s.options.Others()).ByRegion
}

// region returns the region of a daemon, or an empty string if unknown.
func (s *Sharer) region(address string) identity.Region {
	if address == s.options.Link.Address() {
		return s.ownRegion
	}
	return s.options.Distances.Region(s.options.Zone(address))
}

// exchangers returns the daemons that send and receive reports for a region. Daemons of larger capacity are
// preferred.
func (s *Sharer) exchangers(region identity.Region) []string {
	return rendezvous.WeightedTop(rendezvous.Key("room/"+string(region)), s.byRegion()[region], s.options.Capacity, exchangersPerRegion)
}

// Rooms returns the capacity that a service has in the other regions with a recent report, and the time of each
// report. It queries the exchangers of the own region first unless that was done recently.
func (s *Sharer) Rooms(ctx context.Context, service identity.ServiceName) []CapacityReport {
	now := clock.Now()
	if s.beginQuery(now) {
		s.query(ctx)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var capacities []CapacityReport
	for region, report := range s.reports {
		if now.Sub(report.at) > reportTTL {
			continue
		}
		for _, capacity := range report.message.Services {
			if capacity.Service == service {
				capacities = append(capacities, CapacityReport{RegionCapacity: capacity.decode(region), At: report.at, DaemonsOutside: s.daemonsOutside(region)})
			}
		}
	}
	return capacities
}

// CapacityReport is the capacity of a region, when it was reported, and how many daemons are outside the region.
type CapacityReport struct {
	backendpool.RegionCapacity
	At             time.Time
	DaemonsOutside int
}

// daemonsOutside returns how many daemons are outside a region.
func (s *Sharer) daemonsOutside(region identity.Region) int {
	found := 0
	for other, daemons := range s.byRegion() {
		if other != region {
			found += len(daemons)
		}
	}
	return found
}

// beginQuery reports whether a query is due, and if so records that it is sent now.
func (s *Sharer) beginQuery(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.lastQueryAt) < minQueryInterval {
		return false
	}
	s.lastQueryAt = now
	return true
}

// query queries the exchangers of the own region. An empty answer may come from a daemon that has just started, so
// the other's answer is awaited too.
func (s *Sharer) query(ctx context.Context) {
	asked := s.exchangers(s.ownRegion)
	if slices.Contains(asked, s.options.Link.Address()) {
		return
	}
	number := s.questions.Next()
	answers := s.questions.Await(number, len(asked))
	defer s.questions.Forget(number)
	for _, exchanger := range asked {
		peerlink.Tell(s.options.Link, exchanger, peerlink.KindRoomQuestion, &questionMessage{Number: number})
	}
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	for range asked {
		select {
		case got := <-answers:
			if len(got.Regions) > 0 {
				return
			}
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// applyAnswer records the reports in an answer that are newer than the known ones.
func (s *Sharer) applyAnswer(got answerMessage) {
	now := clock.Now()
	for _, aged := range got.Regions {
		s.record(aged.Told, now.Add(-time.Duration(aged.AgeMilliseconds)*time.Millisecond))
	}
}

func (s *Sharer) record(message capacityMessage, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at.After(s.reports[message.Region].at) {
		s.reports[message.Region] = capacityReport{message: message, at: at}
	}
}

// receiveCapacity records the report of another region.
func (s *Sharer) receiveCapacity(_ string, got capacityMessage) {
	if got.Region != s.ownRegion {
		s.record(got, clock.Now())
	}
}

// receiveQuestion answers a daemon of the own region.
func (s *Sharer) receiveQuestion(from string, got questionMessage) {
	now := clock.Now()
	answer := &answerMessage{Number: got.Number}
	s.mutex.Lock()
	for _, report := range s.reports {
		if age := now.Sub(report.at); age <= reportTTL {
			answer.Regions = append(answer.Regions, agedMessage{Told: report.message, AgeMilliseconds: uint32(age.Milliseconds())})
		}
	}
	s.mutex.Unlock()
	peerlink.Tell(s.options.Link, from, peerlink.KindRoomAnswer, answer)
}

// receiveAnswer records an answer, whether or not a request still waits for it.
func (s *Sharer) receiveAnswer(_ string, got answerMessage) {
	s.applyAnswer(got)
	s.questions.Answer(got.Number, got)
}
