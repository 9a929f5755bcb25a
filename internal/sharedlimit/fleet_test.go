package sharedlimit

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
	"github.com/lotusward/lotusward/internal/presence"
)

// fleet is a set of daemons on a simulated network with injected faults, in the time of a synctest bubble.
type fleet struct {
	network *peerlinktest.Network
	rng     *rand.Rand
	mutex   sync.Mutex
	daemons []*testDaemon
	// region returns the region of a daemon; nil means one region for all.
	region  func(address string) identity.Region
	granted map[quota.Owner][]grantRecord
	refused map[quota.Owner]float64
	// clocksPauseOnSuspend stops the clocks of suspended machines, as Go's monotonic clock does.
	clocksPauseOnSuspend bool
	asked                map[quota.Owner]float64
}

type grantRecord struct {
	at   time.Time
	cost float64
}

// testDaemon is one daemon of a fleet.
type testDaemon struct {
	*peerlinktest.Node
	fleet   *fleet
	limiter *Limiter
	// suspendedAt is when the machine was suspended, or zero if it is running, and suspended the total length of
	// earlier suspensions.
	suspendedAt time.Time
	suspended   time.Duration
}

// now returns the time of the machine's clock.
func (m *testDaemon) now() time.Time {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	now := time.Now()
	if !m.fleet.clocksPauseOnSuspend {
		return now
	}
	if !m.suspendedAt.IsZero() {
		now = m.suspendedAt
	}
	return now.Add(-m.suspended)
}

// suspend suspends the machine until resume is called.
func (m *testDaemon) suspend() {
	m.fleet.mutex.Lock()
	if m.suspendedAt.IsZero() {
		m.suspendedAt = time.Now()
	}
	m.fleet.mutex.Unlock()
	m.Freeze()
}

func (m *testDaemon) resume() {
	m.fleet.mutex.Lock()
	if !m.suspendedAt.IsZero() {
		m.suspended += time.Since(m.suspendedAt)
	}
	m.suspendedAt = time.Time{}
	m.fleet.mutex.Unlock()
	m.Thaw()
}

func newFleet(seed uint64, count int) *fleet {
	made := &fleet{
		network: peerlinktest.NewNetwork(seed), rng: rand.New(rand.NewPCG(seed, 1)),
		granted: map[quota.Owner][]grantRecord{}, refused: map[quota.Owner]float64{}, asked: map[quota.Owner]float64{},
	}
	for range count {
		made.add()
	}
	return made
}

// add adds a daemon that all others know immediately.
func (f *fleet) add() {
	f.mutex.Lock()
	joined := &testDaemon{fleet: f, Node: f.network.Add(fmt.Sprintf("10.0.0.%d:1", len(f.daemons)))}
	f.daemons = append(f.daemons, joined)
	f.mutex.Unlock()
	joined.start()
}

// start initialises the daemon with empty state, as after a restart.
func (m *testDaemon) start() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	heard := presence.New()
	m.Observe(func(from string) { heard.Heard(from, m.now()) })
	limiter := New(Options{
		Link: m, Topology: peerlink.Topology{Others: m.others, Region: m.fleet.region}, Count: func() int { return len(m.others()) + 1 }, Presence: heard, Margin: testMargin, Log: log, Now: m.now,
	})
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	m.limiter = limiter
}

func (m *testDaemon) others() []string {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	var addresses []string
	for _, other := range m.fleet.daemons {
		if other != m {
			addresses = append(addresses, other.Address())
		}
	}
	return addresses
}

// exchangePresence makes all daemons hear each other without questions.
func (f *fleet) exchangePresence() {
	f.mutex.Lock()
	daemons := slices.Clone(f.daemons)
	f.mutex.Unlock()
	for _, from := range daemons {
		for _, to := range daemons {
			if from != to {
				from.Send(to.Address(), []byte{byte(peerlink.KindLoads)})
			}
		}
	}
}

// request requests a cost from a tenant's limit at a daemon and records the outcome.
func (f *fleet) request(at *testDaemon, tenant quota.Owner, limit quota.Limit, cost float64) {
	if !at.Working() {
		return
	}
	f.mutex.Lock()
	limiter := at.limiter
	f.asked[tenant] += cost
	f.mutex.Unlock()
	go func() {
		grant := limiter.Take(context.Background(), tenant, limit, cost)
		at.WhenAwake(func() { f.recordOutcome(tenant, grant.Granted, cost) })
	}()
}

func (f *fleet) recordOutcome(tenant quota.Owner, granted bool, cost float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if granted {
		f.granted[tenant] = append(f.granted[tenant], grantRecord{time.Now(), cost})
	} else {
		f.refused[tenant] += cost
	}
}

// maxGranted returns the largest total granted to a tenant within any window.
func (f *fleet) maxGranted(tenant quota.Owner, window time.Duration) float64 {
	uses := f.granted[tenant]
	most, sum, first := 0.0, 0.0, 0
	for _, use := range uses {
		sum += use.cost
		for use.at.Sub(uses[first].at) > window {
			sum -= uses[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// settle waits until all pending work has ended.
func settle() {
	time.Sleep(time.Second)
	synctest.Wait()
}

// byAddress returns the daemon with an address.
func (f *fleet) byAddress(address string) *testDaemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	index := slices.IndexFunc(f.daemons, func(daemon *testDaemon) bool { return daemon.Address() == address })
	return f.daemons[index]
}

// faultSchedule starts faults at their times and ends them after their lengths.
type faultSchedule struct {
	fleet   *fleet
	faults  []fault
	started map[int]bool
	// endings holds the ends of the started faults in start order; end is nil once called.
	endings []ending
}

// ending ends a fault at a given time.
type ending struct {
	at  time.Duration
	end func()
}

// advance starts and ends the faults that are due after the elapsed time.
func (s *faultSchedule) advance(elapsed time.Duration) {
	if s.started == nil {
		s.started = map[int]bool{}
	}
	for index, trouble := range s.faults {
		if !s.started[index] && elapsed >= trouble.at {
			s.started[index] = true
			s.endings = append(s.endings, ending{elapsed + trouble.length, s.fleet.begin(trouble)})
		}
	}
	for index := range s.endings {
		if s.endings[index].end != nil && elapsed >= s.endings[index].at {
			s.endings[index].end()
			s.endings[index].end = nil
		}
	}
}

// end ends the remaining faults.
func (s *faultSchedule) end() {
	for _, left := range s.endings {
		if left.end != nil {
			left.end()
		}
	}
}
