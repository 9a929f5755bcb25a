package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/core/watch"
	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Parameters of the hollow run of the exchange of sightings.
const (
	hollowSeed = 1
	hollowTick = 50 * time.Millisecond
	hollowLoss = 0.05
	// hollowSettle is simulated time for the first reports to come everywhere.
	hollowSettle    = 60 * time.Second
	changesWord     = "changes/s"
	datagramHeaders = 28
	// callOverhead is a call's HTTP headers both ways and those of TCP and IP, as
	// in package hollow.
	callOverhead = 1200
)

// changeIntervals are the times between two changes of back ends in the hollow
// run: none, the four changes of each restart of an ordinary day, and one a second.
var changeIntervals = []time.Duration{0, 18 * time.Second, time.Second}

// exchangeFleet is many exchanges in simulated time, with real encoding and
// signatures. Messages arrive at the next tick.
type exchangeFleet struct {
	ring     *keyring.Ring
	random   *rand.Rand
	now      time.Time
	statuses []enginewire.Status
	watchers [][]int
	hosts    []*exchangeHost
	index    map[string]*exchangeHost
	failed   error
}

type exchangeHost struct {
	id       identity.DaemonID
	exchange *sighting.Exchange
	inbox    []sightingDelivery
	sent     int
	bytes    int
}

type sightingDelivery struct {
	from  identity.DaemonID
	frame []byte
	// whole is set for a peer call, whose frame is the bare body.
	whole bool
}

func newExchangeFleet(sizes projection.Sizes, runners int) (*exchangeFleet, error) {
	ring, err := keyring.New([]byte(sharedKey))
	if err != nil {
		return nil, err
	}
	made := &exchangeFleet{
		ring: ring, random: rand.New(rand.NewPCG(hollowSeed, hollowSeed)), now: start,
		statuses: newFleet(sizes, runners).statuses, index: map[string]*exchangeHost{},
	}
	var members []sighting.Member
	var daemons []watch.Daemon
	for index := range sizes.Daemons {
		id, zone := daemonName(index), zoneName(index%sizes.Zones)
		address := "10.20.0." + string(id)
		members = append(members, sighting.Member{ID: id, Zone: zone, Address: address})
		daemons = append(daemons, watch.Daemon{ID: id, Zone: zone})
		host := &exchangeHost{id: id, exchange: sighting.New(made.now, sighting.Identity{
			ID: id, Zone: zone, Address: address, Incarnation: firstIncarnation,
		}, rand.New(rand.NewPCG(hollowSeed, uint64(index))), sighting.DefaultOptions())}
		made.hosts = append(made.hosts, host)
		made.index[address] = host
	}
	made.assign(daemons, sizes.Zones)
	for _, host := range made.hosts {
		made.perform(host, host.exchange.SetMembers(made.now, members))
	}
	return made, nil
}

// assign finds who watches which back end.
func (f *exchangeFleet) assign(daemons []watch.Daemon, zones int) {
	plan := watch.NewPlan(daemons)
	position := map[identity.DaemonID]int{}
	for index, daemon := range daemons {
		position[daemon.ID] = index
	}
	for index, status := range f.statuses {
		var watching []int
		for _, id := range plan.Watchers(status.Backend, zoneName(index%zones)) {
			watching = append(watching, position[id])
		}
		f.watchers = append(f.watchers, watching)
	}
}

// observe lets the watchers of a back end see its status.
func (f *exchangeFleet) observe(backend int) {
	for _, watcher := range f.watchers[backend] {
		host := f.hosts[watcher]
		f.perform(host, host.exchange.Observe(f.now, sighting.Seen(f.statuses[backend])))
	}
}

// change moves a back end to its next state.
func (f *exchangeFleet) change(backend int) {
	status := &f.statuses[backend]
	status.StateVersion++
	status.State = enginewire.StateLeaving
	if status.StateVersion%2 == 0 {
		status.State = enginewire.StateServing
	}
	f.observe(backend)
}

func (f *exchangeFleet) perform(host *exchangeHost, actions []sighting.Action) {
	for _, action := range actions {
		if sending, is := action.(sighting.Send); is {
			f.send(host, sending)
		}
	}
}

func (f *exchangeFleet) send(from *exchangeHost, sending sighting.Send) {
	body, err := datagram.Encode(sending.Message)
	if err != nil {
		f.failed = err
		return
	}
	carried, size := sightingDelivery{from: from.id, frame: body, whole: true}, len(body)+callOverhead
	if !sending.Reliable {
		frame, err := datagram.Seal(f.ring, from.id, f.now, body)
		if err != nil {
			f.failed = err
			return
		}
		carried, size = sightingDelivery{from: from.id, frame: frame}, len(frame)+datagramHeaders
	}
	from.sent++
	from.bytes += size
	to := f.index[sending.To]
	if to == nil || !sending.Reliable && f.random.Float64() < hollowLoss {
		return
	}
	to.bytes += size
	to.inbox = append(to.inbox, carried)
}

func (f *exchangeFleet) deliver(host *exchangeHost, received sightingDelivery) {
	body := received.frame
	if !received.whole {
		_, opened, err := datagram.Open(f.ring, f.now, received.frame)
		if err != nil {
			f.failed = err
			return
		}
		body = opened
	}
	var message sighting.Message
	if err := msgpack.Unmarshal(body, &message); err != nil {
		f.failed = err
		return
	}
	f.perform(host, host.exchange.Handle(f.now, received.from, message))
}

// run lets simulated time pass, with a change of a back end at each interval;
// none when it is zero.
func (f *exchangeFleet) run(length, changeInterval time.Duration) {
	next := f.now
	for end := f.now.Add(length); f.now.Before(end); {
		f.now = f.now.Add(hollowTick)
		if changeInterval > 0 && !f.now.Before(next) {
			next = next.Add(changeInterval)
			f.change(f.random.IntN(len(f.statuses)))
		}
		for _, host := range f.hosts {
			waiting := host.inbox
			host.inbox = nil
			for _, received := range waiting {
				f.deliver(host, received)
			}
			f.perform(host, host.exchange.Tick(f.now))
		}
	}
}

// complete tells how many daemons know all back ends.
func (f *exchangeFleet) complete() int {
	count := 0
	for _, host := range f.hosts {
		if len(host.exchange.Backends()) == len(f.statuses) {
			count++
		}
	}
	return count
}

func (f *exchangeFleet) traffic() (sent, bytes int) {
	for _, host := range f.hosts {
		sent += host.sent
		bytes += host.bytes
	}
	return sent, bytes
}

// measureSightings runs hollow exchanges of all daemons: the memory with few and
// many back ends, and with many the traffic at several rates of changes.
func (m *measurement) measureSightings() {
	slopes := &m.slopes.Sightings
	*slopes = newGossipSlopes(changesWord)
	slopes.MemoryBytes.Of = runnersWord
	m.settledExchanges(m.sizes.Runners / 4)
	run := m.settledExchanges(m.sizes.Runners)
	if run == nil {
		return
	}
	for _, interval := range changeIntervals {
		m.measureChanges(run, interval)
	}
	m.note(run.failed)
}

// settledExchanges starts exchanges in which all daemons know all back ends.
func (m *measurement) settledExchanges(runners int) *exchangeFleet {
	before := liveHeap()
	run, err := newExchangeFleet(m.sizes, runners)
	if err != nil {
		m.note(err)
		return nil
	}
	for backend := range run.statuses {
		run.observe(backend)
	}
	run.run(hollowSettle, 0)
	if count := run.complete(); count < len(run.hosts) {
		m.remark("sightings: after %s only %d of %d daemons knew all %d back ends", hollowSettle, count, len(run.hosts), runners)
	}
	memory := &m.slopes.Sightings.MemoryBytes
	value := float64(liveHeap()-before) / float64(len(run.hosts))
	memory.Points = append(memory.Points, projection.Point{Size: float64(runners), Value: value})
	return run
}

// measureChanges measures what a settled fleet spends at a rate of changes.
func (m *measurement) measureChanges(run *exchangeFleet, interval time.Duration) {
	sentBefore, bytesBefore := run.traffic()
	used := processorTime()
	run.run(m.hollowLength, interval)
	core := (processorTime() - used).Seconds()
	sent, bytes := run.traffic()
	span := float64(len(run.hosts)) * m.hollowLength.Seconds()
	rate := 0.0
	if interval > 0 {
		rate = 1 / interval.Seconds()
	}
	slopes := &m.slopes.Sightings
	add := func(slope *projection.Slope, value float64) {
		slope.Points = append(slope.Points, projection.Point{Size: rate, Value: value})
	}
	add(&slopes.Core, core/span)
	add(&slopes.SentPerSecond, float64(sent-sentBefore)/span)
	add(&slopes.BytesPerSecond, float64(bytes-bytesBefore)/span)
}
