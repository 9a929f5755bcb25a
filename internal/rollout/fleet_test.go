package rollout

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
	"github.com/lotusward/lotusward/internal/presence"
)

const (
	// stepTime is the simulated time of one step of the fleet, and checkTime the time between two reads of the
	// store by a daemon.
	stepTime  = 10 * time.Millisecond
	checkTime = 500 * time.Millisecond
	// testLimit is the confirmation limit: four fifths of a rollbackMs of 5000.
	testLimit = 4 * time.Second
	// stopBound is the time within which a daemon must obey a stop that could have reached it.
	stopBound = 1500 * time.Millisecond
	// testShare is the share of requests that may be exposed.
	testShare = 0.1
	// backendsEach is the number of back ends of each version.
	backendsEach = 6
	// longestRequest is the longest timeout.
	longestRequest = 3 * time.Second

	oldVersion identity.SoftwareVersion = "v1"
	newVersion identity.SoftwareVersion = "v2"
)

// fleet simulates daemons, the network between them, a store and back ends in the fake time of a synctest bubble.
// The test's goroutine runs all steps.
type fleet struct {
	network *peerlinktest.Network
	random  *rand.Rand
	store   *store
	members []*member
	// services may have orders at the same time.
	services []identity.ServiceName
	// failureRates are the shares of failed answers by version.
	failureRates map[identity.SoftwareVersion]float64
	// starts counts the starts of daemons, each of which comes with some initial credit.
	starts int
	// relayChecks passes what is read on to daemons that can't reach the store.
	relayChecks bool
	// unchecked keeps all daemons from reading the store, and readerless keeps them from reading on behalf of
	// all.
	unchecked  atomic.Bool
	readerless bool
	// longest is the duration of the longest requests.
	longest time.Duration

	mutex sync.Mutex
	// actions are run by the test's goroutine in the next step.
	actions []func()
	// listed holds the versions that have back ends, by service.
	listed map[identity.ServiceName]map[identity.SoftwareVersion]bool
	// underWay counts the requests in progress at back ends, by service and version.
	underWay               map[identity.ServiceName]map[identity.SoftwareVersion]int
	sent                   map[identity.ServiceName]map[identity.SoftwareVersion]int
	trialRequests          map[uint64]int
	stableAndTrialRequests map[uint64]int
	violations             []string
}

func newFleet(seed uint64, count int, services ...identity.ServiceName) *fleet {
	made := &fleet{
		network: peerlinktest.NewNetwork(seed), random: rand.New(rand.NewPCG(seed, 7)), services: services,
		failureRates: map[identity.SoftwareVersion]float64{}, longest: longestRequest,
		listed: map[identity.ServiceName]map[identity.SoftwareVersion]bool{}, underWay: map[identity.ServiceName]map[identity.SoftwareVersion]int{},
		sent: map[identity.ServiceName]map[identity.SoftwareVersion]int{}, trialRequests: map[uint64]int{}, stableAndTrialRequests: map[uint64]int{},
	}
	made.store = &store{fleet: made, began: time.Now(), standings: map[identity.ServiceName]rollout.Standing{}, orders: map[identity.ServiceName]rollout.Order{}, declared: map[uint64]identity.SoftwareVersion{}}
	for _, service := range services {
		made.listed[service] = map[identity.SoftwareVersion]bool{oldVersion: true}
		made.underWay[service], made.sent[service] = map[identity.SoftwareVersion]int{}, map[identity.SoftwareVersion]int{}
	}
	for index := range count {
		made.members = append(made.members, &member{fleet: made, index: index, rate: 0.3, Node: made.network.Add(fmt.Sprintf("10.0.0.%d:1", index))})
	}
	for _, each := range made.members {
		each.start()
	}
	return made
}

func (f *fleet) violate(format string, arguments ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.violations = append(f.violations, fmt.Sprintf("%v: ", time.Since(f.store.began))+fmt.Sprintf(format, arguments...))
}

// order declares an order, and starts back ends of its target.
func (f *fleet) order(service identity.ServiceName, target identity.SoftwareVersion, duration time.Duration) uint64 {
	f.list(service, target)
	return f.store.order(service, target, duration)
}

func (f *fleet) list(service identity.ServiceName, version identity.SoftwareVersion) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listed[service][version] = true
}

// run runs the fleet for a time.
func (f *fleet) run(duration time.Duration) {
	f.until(duration, func() bool { return false })
}

// until runs the fleet for a time, or until a condition holds. It reports whether the condition holds.
func (f *fleet) until(duration time.Duration, holds func() bool) bool {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if holds() {
			return true
		}
		time.Sleep(stepTime)
		synctest.Wait()
		f.runActions()
		for _, each := range f.members {
			if each.Working() {
				each.step()
			}
		}
		f.noteStops()
	}
	return holds()
}

// later schedules an action of the test's goroutine.
func (f *fleet) later(action func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.actions = append(f.actions, action)
}

func (f *fleet) runActions() {
	f.mutex.Lock()
	due := f.actions
	f.actions = nil
	f.mutex.Unlock()
	for _, each := range due {
		each()
	}
}

// stage returns the stage of a service in the store.
func (f *fleet) stage(service identity.ServiceName) rollout.Stage {
	return f.store.standing(service).Stage
}

func (f *fleet) at(service identity.ServiceName, stage rollout.Stage) func() bool {
	return func() bool { return f.stage(service) == stage }
}

// noteStops records since when each daemon could have received a stop.
func (f *fleet) noteStops() {
	for _, each := range f.members {
		for _, service := range f.services {
			each.updateReachability(service)
		}
	}
}

// settle ends all daemons and their requests.
func (f *fleet) settle() {
	f.runActions()
	for _, each := range f.members {
		each.kill()
	}
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

// store simulates the platform's store, with faults.
type store struct {
	fleet     *fleet
	began     time.Time
	mutex     sync.Mutex
	version   uint64
	standings map[identity.ServiceName]rollout.Standing
	orders    map[identity.ServiceName]rollout.Order
	// declared holds the targets of orders by number.
	declared map[uint64]identity.SoftwareVersion
	// history holds all standings that were written.
	history []rollout.Standing
	writes  int
	down    bool
	// readOnly makes writes fail.
	readOnly bool
	delay    time.Duration
	// loseAnswers is the number of writes that will succeed without an answer.
	loseAnswers int
	// before is called before a write, and after it before its answer.
	before, after func(rollout.Standing, *member)
}

func (s *store) now() time.Duration { return time.Hour + time.Since(s.began) }

func (s *store) order(service identity.ServiceName, target identity.SoftwareVersion, duration time.Duration) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.declared[s.version] = target
	s.orders[service] = rollout.Order{Service: service, Target: target, Number: s.version, Duration: duration}
	return s.version
}

func (s *store) standing(service identity.ServiceName) rollout.Standing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.standings[service]
}

func (s *store) orderOf(service identity.ServiceName) (rollout.Order, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	order, found := s.orders[service]
	return order, found
}

func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func (s *store) setDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// answers reports whether the store answers a daemon, and after which delay.
func (s *store) answers(caller *member) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.delay, !s.down && !caller.storeless.Load()
}

// commit writes a standing if the current row is the expected one, and reports whether the answer is lost.
func (s *store) commit(standing rollout.Standing, over uint64) (row uint64, conflict, lost bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.standings[standing.Service].Row != over {
		return 0, true, false
	}
	s.version++
	standing.Row = s.version
	s.fleet.checkWrite(standing, s.standings[standing.Service])
	s.standings[standing.Service] = standing
	s.history = append(s.history, standing)
	s.writes++
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return standing.Row, false, true
	}
	return standing.Row, false, false
}

// checkWrite checks, at the time of a write, that an order is only completed while no requests are in progress at
// the old back ends, and then removes these.
func (f *fleet) checkWrite(standing, before rollout.Standing) {
	if standing.Stage != rollout.StageCompleted {
		return
	}
	if before.Stage != rollout.StageShift || before.Order != standing.Order {
		f.violate("order %d is completed after %q of order %d", standing.Order, before.Stage, before.Order)
	}
	f.mutex.Lock()
	left := 0
	for version, count := range f.underWay[standing.Service] {
		if version != standing.Target {
			left += count
		}
	}
	listed := map[identity.SoftwareVersion]bool{standing.Target: true}
	if newer := f.store.orders[standing.Service]; newer.Number > standing.Order && f.listed[standing.Service][newer.Target] {
		listed[newer.Target] = true
	}
	f.listed[standing.Service] = listed
	f.mutex.Unlock()
	if left > 0 {
		f.violate("order %d is completed with %d requests at old back ends", standing.Order, left)
	}
}

// versions returns the listed versions of a service.
func (f *fleet) versions(service identity.ServiceName) []identity.SoftwareVersion {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Sorted(maps.Keys(f.listed[service]))
}

// keyOf returns the hash of the ID of a version's back end.
func keyOf(version identity.SoftwareVersion, index int) uint64 {
	return rendezvous.Key(fmt.Sprintf("%s-%d", version, index))
}

// SoftwareVersions, KeysOf and Backends implement Backends. All daemons know the same back ends.
func (m *member) SoftwareVersions(service identity.ServiceName) map[identity.SoftwareVersion]int {
	counts := map[identity.SoftwareVersion]int{}
	for _, version := range m.fleet.versions(service) {
		counts[version] = backendsEach
	}
	return counts
}

func (m *member) KeysOf(service identity.ServiceName, version identity.SoftwareVersion) []uint64 {
	if !slices.Contains(m.fleet.versions(service), version) {
		return nil
	}
	var keys []uint64
	for index := range backendsEach {
		keys = append(keys, keyOf(version, index))
	}
	return keys
}

func (m *member) Backends() []backendpool.Backend {
	var listed []backendpool.Backend
	for _, service := range m.fleet.services {
		for _, version := range m.fleet.versions(service) {
			listed = append(listed, backendpool.Backend{ID: identity.BackendID(version), Service: service, Software: version})
		}
	}
	return listed
}

// InFlightOnOtherVersions counts the daemon's requests that have a place at a back end of another version.
func (m *member) InFlightOnOtherVersions(service identity.ServiceName, except identity.SoftwareVersion) int {
	count := 0
	for _, each := range m.requests {
		if each.choice.Service == service && each.version != except {
			count++
		}
	}
	return count
}

// UnderWay implements Reports; it counts the requests at all back ends of a version.
func (m *member) UnderWay(_ context.Context, backend backendpool.Backend) (int, error) {
	if m.reportless.Load() {
		return 0, errTest
	}
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	return m.fleet.underWay[backend.Service][backend.Software], nil
}

// newOptions returns the options of a daemon that starts.
func (m *member) newOptions() Options {
	heard := presence.New()
	m.Observe(func(from string) { heard.Heard(from, time.Now()) })
	return Options{
		Link: m, Others: m.others, Count: func() int { return len(m.fleet.members) }, Presence: heard,
		Broadcast: m.tell, Directory: m.directory, Backends: m, Standings: m, Reports: m,
		ExposureShare: testShare, ConfirmationLimit: testLimit, Log: logging.Discard(), Now: time.Now,
	}
}

func (m *member) others() []string {
	var others []string
	for _, each := range m.fleet.members {
		if each != m {
			others = append(others, each.Address())
		}
	}
	return others
}

func (m *member) tell(kind peerlink.Kind, body any) {
	for _, address := range m.others() {
		peerlink.Tell(m, address, kind, body)
	}
}

// inBubble runs a test in the fake time of a synctest bubble.
func inBubble(t *testing.T, play func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { play(t) })
}
