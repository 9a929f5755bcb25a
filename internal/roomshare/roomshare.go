// Package roomshare lets daemons know what room other regions have, where there are several.
// In each region two daemons sum up what is under way at its back ends, by a sample of them,
// and tell two daemons of each other region some times a second. Who is about to send a
// request to another region asks one of those in its own.
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
	// tellersEach is how many daemons of a region tell and hear for it: one may be gone.
	tellersEach = 2
	// tellInterval is how often a region's room is told: requests last half a second and more,
	// so that it changes little in between.
	tellInterval = 250 * time.Millisecond
	// sampledBackends is how many back ends are asked for what is under way there before a
	// region's room is told: 30 are all asked within a second.
	sampledBackends = 8
	// askAgainAfter is how old an answer may be to be used again.
	askAgainAfter = 200 * time.Millisecond
	// answerTimeout is how long a request waits for an answer from the own region. A later one serves the requests after
	// it: some zones are further apart.
	answerTimeout = 10 * time.Millisecond
	// forgetAfter is how long a region that told its room counts as within reach.
	forgetAfter = 1500 * time.Millisecond
)

// Options are what a Sharer works with.
type Options struct {
	Link peerlink.Carrier
	// Others returns the addresses of the other daemons, in another slice whenever any of them
	// is described anew, and Zone the zone of one of them; empty is unknown.
	Others func() []string
	Zone   func(address string) identity.Zone
	// Capacity returns the capacity of a daemon's machine relative to others', above zero.
	Capacity func(address string) float64
	// OwnZone is this daemon's zone.
	OwnZone   identity.Zone
	Distances distance.Map
	Pool      *backendpool.Pool
	// Refresh tells the pool what is under way at back ends, by the hashes of their IDs; nil
	// where the pool knows.
	Refresh func(ctx context.Context, keys []uint64)
}

// Sharer tells the room of the own region and knows that of the others. It is safe for use by
// several goroutines.
type Sharer struct {
	options   Options
	own       identity.Region
	questions *peerlink.Questions[answerMessage]
	groups    *peerlink.Groups

	mutex sync.Mutex
	heard map[identity.Region]heardRoom
	// askedAt is when the last question was asked.
	askedAt time.Time
}

// heardRoom is what a region told last, and when that was heard first.
type heardRoom struct {
	told toldMessage
	at   time.Time
}

// New makes a Sharer that hears at once, and tells while it runs.
func New(options Options) *Sharer {
	made := &Sharer{
		options: options, own: options.Distances.Region(options.OwnZone),
		questions: peerlink.NewQuestions[answerMessage](), heard: map[identity.Region]heardRoom{},
	}
	made.groups = peerlink.NewGroups(options.Link.Address(), made.region)
	peerlink.HandleDecoded(options.Link, peerlink.KindRoom, made.hearTold)
	peerlink.HandleDecoded(options.Link, peerlink.KindRoomQuestion, made.hearQuestion)
	peerlink.HandleDecoded(options.Link, peerlink.KindRoomAnswer, made.hearAnswer)
	return made
}

// Run tells the own region's room until the context ends.
func (s *Sharer) Run(ctx context.Context) error {
	if !s.options.Distances.HasSeveralRegions() {
		<-ctx.Done()
		return nil
	}
	pause.Every(ctx, tellInterval, func(time.Time) { s.tell(ctx) })
	return nil
}

// tell tells two daemons of each other region what room the own region has, if it is for this
// daemon to do so.
func (s *Sharer) tell(ctx context.Context) {
	if !slices.Contains(s.tellers(s.own), s.options.Link.Address()) {
		return
	}
	if s.options.Refresh != nil {
		s.options.Refresh(ctx, s.options.Pool.SampleRegion(s.own, sampledBackends))
	}
	told := s.sum()
	datagram, fits := s.options.Link.Encode(peerlink.KindRoom, &told)
	if !fits {
		return
	}
	for region := range s.byRegion() {
		if region == s.own || region == "" {
			continue
		}
		for _, teller := range s.tellers(region) {
			s.options.Link.Send(teller, datagram)
		}
	}
}

// sum is what room the own region has.
func (s *Sharer) sum() toldMessage {
	told := toldMessage{Region: s.own}
	for _, service := range s.options.Pool.Services() {
		for _, room := range s.options.Pool.RegionCapacities(clock.Now(), service) {
			if room.Region == s.own {
				told.Services = append(told.Services, newServiceRoom(service, room))
			}
		}
	}
	return told
}

// byRegion are the daemons by their regions. The result must not be changed.
func (s *Sharer) byRegion() map[identity.Region][]string {
	return s.groups.Of(s.options.Others()).ByRegion
}

// region is a daemon's region; empty is unknown.
func (s *Sharer) region(address string) identity.Region {
	if address == s.options.Link.Address() {
		return s.own
	}
	return s.options.Distances.Region(s.options.Zone(address))
}

// tellers are the daemons of a region that tell and hear for it, mostly those of great capacity.
func (s *Sharer) tellers(region identity.Region) []string {
	return rendezvous.WeightedTop(rendezvous.Key("room/"+string(region)), s.byRegion()[region], s.options.Capacity, tellersEach)
}

// Rooms returns the rooms that a service has in other regions, of those that told lately, and
// when each was told. It asks in the own region if what is known is old.
func (s *Sharer) Rooms(ctx context.Context, service identity.ServiceName) []CapacityReport {
	now := clock.Now()
	if s.isOld(now) {
		s.ask(ctx)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var rooms []CapacityReport
	for region, heard := range s.heard {
		if now.Sub(heard.at) > forgetAfter {
			continue
		}
		for _, room := range heard.told.Services {
			if room.Service == service {
				rooms = append(rooms, CapacityReport{RegionCapacity: room.room(region), At: heard.at, DaemonsOutside: s.outside(region)})
			}
		}
	}
	return rooms
}

// CapacityReport is the room of a region with when it was heard, and how many daemons are outside it.
type CapacityReport struct {
	backendpool.RegionCapacity
	At             time.Time
	DaemonsOutside int
}

// outside is how many daemons are outside a region.
func (s *Sharer) outside(region identity.Region) int {
	found := 0
	for other, daemons := range s.byRegion() {
		if other != region {
			found += len(daemons)
		}
	}
	return found
}

// isOld tells whether a question is due, and notes that it is asked then.
func (s *Sharer) isOld(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.askedAt) < askAgainAfter {
		return false
	}
	s.askedAt = now
	return true
}

// ask asks the daemons that hear for the own region. One that has heard nothing may have just
// started: the other's answer is waited for too.
func (s *Sharer) ask(ctx context.Context) {
	asked := s.tellers(s.own)
	if slices.Contains(asked, s.options.Link.Address()) {
		return
	}
	number := s.questions.Next()
	answers := s.questions.Await(number, len(asked))
	defer s.questions.Forget(number)
	for _, teller := range asked {
		peerlink.Tell(s.options.Link, teller, peerlink.KindRoomQuestion, &questionMessage{Number: number})
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

// take takes in an answer, unless newer is known.
func (s *Sharer) take(got answerMessage) {
	now := clock.Now()
	for _, aged := range got.Regions {
		s.note(aged.Told, now.Add(-time.Duration(aged.AgeMilliseconds)*time.Millisecond))
	}
}

func (s *Sharer) note(told toldMessage, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at.After(s.heard[told.Region].at) {
		s.heard[told.Region] = heardRoom{told: told, at: at}
	}
}

// hearTold takes in what another region tells.
func (s *Sharer) hearTold(_ string, got toldMessage) {
	if got.Region != s.own {
		s.note(got, clock.Now())
	}
}

// hearQuestion answers a daemon of the own region.
func (s *Sharer) hearQuestion(from string, got questionMessage) {
	now := clock.Now()
	answer := &answerMessage{Number: got.Number}
	s.mutex.Lock()
	for _, heard := range s.heard {
		if age := now.Sub(heard.at); age <= forgetAfter {
			answer.Regions = append(answer.Regions, agedMessage{Told: heard.told, AgeMilliseconds: uint32(age.Milliseconds())})
		}
	}
	s.mutex.Unlock()
	peerlink.Tell(s.options.Link, from, peerlink.KindRoomAnswer, answer)
}

// hearAnswer takes an answer in, whether or not a request waits for it.
func (s *Sharer) hearAnswer(_ string, got answerMessage) {
	s.take(got)
	s.questions.Answer(got.Number, got)
}
