package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/core/membership/membershiptest"
)

// roughConditions lose, repeat and reorder more than any real network should.
func roughConditions() membershiptest.Conditions {
	return membershiptest.Conditions{
		Loss: 0.15, Repeat: 0.1,
		ZoneDelay: time.Millisecond, CrossDelay: 20 * time.Millisecond, Jitter: 200 * time.Millisecond,
	}
}

// life names one life of one daemon.
type life struct {
	daemon identity.DaemonID
	number int
}

// world is the simulated system together with the oracle of what must hold.
type world struct {
	t       *rapid.T
	network *membershiptest.Network
	lives   map[identity.DaemonID]int
	left    map[identity.DaemonID]bool
	// ownIncarnation is the highest that each daemon ever gave itself.
	ownIncarnation map[identity.DaemonID]identity.Incarnation
	// told holds every fact that some daemon was told of from outside.
	told map[membership.BackendFact]bool
	// backends and members hold the newest fact that each life heard.
	backends map[life]map[identity.BackendID]membership.BackendFact
	members  map[life]map[identity.DaemonID]membership.Member
	// overheard holds old facts, to be repeated late.
	overheard []membership.Message
}

func newWorld(t *rapid.T) *world {
	options := membership.DefaultOptions()
	w := &world{
		t:              t,
		network:        membershiptest.NewNetwork(rapid.Uint64().Draw(t, "seed"), roughConditions(), options),
		lives:          map[identity.DaemonID]int{},
		left:           map[identity.DaemonID]bool{},
		ownIncarnation: map[identity.DaemonID]identity.Incarnation{},
		told:           map[membership.BackendFact]bool{},
		backends:       map[life]map[identity.BackendID]membership.BackendFact{},
		members:        map[life]map[identity.DaemonID]membership.Member{},
	}
	w.network.Observe = w.observe
	count := rapid.IntRange(2, 7).Draw(t, "daemons")
	seeds := []string{address(0), address(1)}
	for index := 0; index < count; index++ {
		id := identity.DaemonID(fmt.Sprintf("daemon-%d", index))
		zone := identity.Zone(fmt.Sprintf("zone-%d", index%3))
		w.network.Add(id, zone, address(index), seeds)
		w.newLife(id)
	}
	return w
}

func address(index int) string { return fmt.Sprintf("10.0.0.%d:7000", index) }

func (w *world) newLife(id identity.DaemonID) {
	w.lives[id]++
	w.left[id] = false
	key := life{id, w.lives[id]}
	w.backends[key] = map[identity.BackendID]membership.BackendFact{}
	w.members[key] = map[identity.DaemonID]membership.Member{}
}

// newer is the oracle's order of back-end facts, written apart from the code's.
func newer(left, right membership.BackendFact) bool {
	switch {
	case left.Version != right.Version:
		return left.Version > right.Version
	case left.Revision != right.Revision:
		return left.Revision > right.Revision
	default:
		return left.Leaving && !right.Leaving
	}
}

// observe checks every event against what the same life heard before.
func (w *world) observe(host *membershiptest.Host, action membership.Action) {
	key := life{host.ID, w.lives[host.ID]}
	switch event := action.(type) {
	case membership.BackendLeaving:
		w.checkFact(key, event.Fact)
	case membership.BackendReturned:
		w.checkFact(key, event.Fact)
	case membership.MemberChanged:
		w.checkMember(key, event.Member)
	}
}

func (w *world) checkFact(key life, fact membership.BackendFact) {
	known, found := w.backends[key][fact.Backend]
	if found && !newer(fact, known) {
		w.t.Fatalf("%v took %+v after %+v", key, fact, known)
	}
	if !w.told[fact] {
		w.t.Fatalf("%v heard %+v, which nobody told", key, fact)
	}
	w.backends[key][fact.Backend] = fact
}

// noteOwnIncarnations must be called before a life ends, too.
func (w *world) noteOwnIncarnations() {
	for _, host := range w.network.Hosts() {
		w.ownIncarnation[host.ID] = max(w.ownIncarnation[host.ID], host.Node.Self().Incarnation)
	}
}

func (w *world) checkMember(key life, member membership.Member) {
	w.noteOwnIncarnations()
	known, found := w.members[key][member.ID]
	if found && member.Incarnation < known.Incarnation {
		w.t.Fatalf("%v went back from %+v to %+v", key, known, member)
	}
	if member.Incarnation > w.ownIncarnation[member.ID] {
		w.t.Fatalf("%v heard incarnation %d, which %s never had", key, member.Incarnation, member.ID)
	}
	w.members[key][member.ID] = member
}

func (w *world) anyHost() *membershiptest.Host {
	return rapid.SampledFrom(w.network.Hosts()).Draw(w.t, "host")
}

func (w *world) present(host *membershiptest.Host) bool { return host.Running && !w.left[host.ID] }

func (w *world) running() []*membershiptest.Host {
	var running []*membershiptest.Host
	for _, host := range w.network.Hosts() {
		if w.present(host) {
			running = append(running, host)
		}
	}
	return running
}

func (w *world) passTime(*rapid.T) {
	milliseconds := rapid.SampledFrom([]int{50, 300, 1000, 4000, 15000}).Draw(w.t, "milliseconds")
	w.network.Run(time.Duration(milliseconds) * time.Millisecond)
}

func (w *world) crash(*rapid.T) { w.anyHost().Crash() }

func (w *world) pause(*rapid.T) {
	length := rapid.IntRange(100, 15000).Draw(w.t, "milliseconds")
	w.anyHost().Pause(time.Duration(length) * time.Millisecond)
}

// restart starts a new life, sometimes by a clock that went back.
func (w *world) restart(*rapid.T) {
	host := w.anyHost()
	w.restartHost(host, rapid.SampledFrom([]time.Duration{0, 0, -time.Hour}).Draw(w.t, "clock"))
}

func (w *world) restartHost(host *membershiptest.Host, offset time.Duration) {
	w.noteOwnIncarnations()
	w.newLife(host.ID)
	host.RestartAt(w.network.Now().Add(offset))
}

func (w *world) restartAll(*rapid.T) {
	for _, host := range w.network.Hosts() {
		w.restartHost(host, 0)
	}
}

func (w *world) leave(*rapid.T) {
	host := w.anyHost()
	if !host.Running || w.left[host.ID] {
		return
	}
	w.left[host.ID] = true
	host.Perform(host.Node.Leave(w.network.Now()))
}

func (w *world) partition(*rapid.T) {
	sides := map[identity.DaemonID]bool{}
	for _, host := range w.network.Hosts() {
		sides[host.ID] = rapid.Bool().Draw(w.t, "side")
	}
	w.network.Cut = func(from, to *membershiptest.Host) bool { return sides[from.ID] != sides[to.ID] }
}

func (w *world) heal(*rapid.T) { w.network.Cut = nil }

// tellBackend lets a daemon see a back end leaving or returned. Versions and
// revisions are few, so that facts are often equal, older or only half newer.
func (w *world) tellBackend(*rapid.T) {
	host := w.anyHost()
	if !host.Running {
		return
	}
	fact := membership.BackendFact{
		Backend:  identity.BackendID(rapid.SampledFrom([]string{"engine-1", "engine-2"}).Draw(w.t, "backend")),
		Version:  rapid.Uint64Range(1, 4).Draw(w.t, "version"),
		Revision: identity.Revision(rapid.Uint64Range(0, 2).Draw(w.t, "revision")),
		Leaving:  rapid.Bool().Draw(w.t, "leaving"),
		Since:    w.network.Now().Unix(),
	}
	w.told[fact] = true
	host.Node.ObserveBackend(w.network.Now(), fact)
	key := life{host.ID, w.lives[host.ID]}
	for _, known := range host.Node.BackendFacts() {
		if before, found := w.backends[key][known.Backend]; found && newer(before, known) {
			w.t.Fatalf("%v went back from %+v to %+v", key, before, known)
		}
		w.backends[key][known.Backend] = known
	}
}

func (w *world) setRevision(*rapid.T) {
	host := w.anyHost()
	if host.Running {
		host.Node.SetRevision(identity.Revision(rapid.Uint64Range(1, 20).Draw(w.t, "revision")))
	}
}

// overhear keeps what a daemon knows now, to be repeated late.
func (w *world) overhear(*rapid.T) {
	node := w.anyHost().Node
	w.overheard = append(w.overheard, membership.Message{Members: node.Members(), Backends: node.BackendFacts()})
}

func (w *world) repeatOverheard(*rapid.T) {
	host := w.anyHost()
	if len(w.overheard) == 0 || !host.Running {
		return
	}
	stale := rapid.SampledFrom(w.overheard).Draw(w.t, "stale")
	host.Perform(host.Node.Handle(w.network.Now(), "daemon-0", address(0), stale))
}

// settle ends all faults and gives the daemons time to agree. Who never met
// anybody can only be found through a seed, so that one of them must run.
func (w *world) settle() {
	w.network.Cut = nil
	first, second := w.network.Hosts()[0], w.network.Hosts()[1]
	if !w.present(first) && !w.present(second) {
		w.restartHost(first, 0)
	}
	w.network.Conditions = membershiptest.LocalConditions()
	w.network.Run(20 * time.Second)
	_, agreed := w.network.RunUntil(5*time.Minute, func() bool { return w.disagreement() == "" })
	if !agreed {
		w.t.Fatalf("no agreement: %s", w.disagreement())
	}
}

// disagreement tells what differs between running daemons, or from what is true.
func (w *world) disagreement() string {
	running := w.running()
	for _, host := range running {
		for _, other := range w.network.Hosts() {
			seen, known := host.Node.Member(other.ID)
			alive := w.present(other)
			if alive && !sameMember(seen, other.Node.Self()) {
				return fmt.Sprintf("%s sees %+v of %+v", host.ID, seen, other.Node.Self())
			}
			if !alive && known && seen.Live() {
				return fmt.Sprintf("%s still sees %+v", host.ID, seen)
			}
		}
		first, own := timeless(running[0].Node.BackendFacts()), timeless(host.Node.BackendFacts())
		if !slices.Equal(first, own) {
			return fmt.Sprintf("%s has %v, %s has %v", running[0].ID, first, host.ID, own)
		}
		if difference := w.missingFact(host); difference != "" {
			return difference
		}
	}
	return ""
}

// timeless leaves out when a fact was first told: two daemons may see the same at
// different times, and nothing but the time of forgetting hangs on it.
func timeless(facts []membership.BackendFact) []membership.BackendFact {
	for index := range facts {
		facts[index].Since = 0
	}
	return facts
}

func sameMember(left, right membership.Member) bool {
	left.Since, right.Since = 0, 0
	return left == right
}

// missingFact tells of a fact that a running daemon held and that a host neither
// has nor has a newer one for.
func (w *world) missingFact(host *membershiptest.Host) string {
	have := map[identity.BackendID]membership.BackendFact{}
	for _, fact := range host.Node.BackendFacts() {
		have[fact.Backend] = fact
	}
	for _, other := range w.running() {
		for id, fact := range w.backends[life{other.ID, w.lives[other.ID]}] {
			if newer(fact, have[id]) {
				return fmt.Sprintf("%s has %+v, %s held %+v", host.ID, have[id], other.ID, fact)
			}
		}
	}
	return ""
}

// TestDaemonsAgreeAfterAnyFaults lets all faults happen in any order. Then all
// running daemons must agree with the truth and each other; at no time may a
// leave be undone by an older fact or an incarnation shrink.
func TestDaemonsAgreeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"passTime":        w.passTime,
			"crash":           w.crash,
			"pause":           w.pause,
			"restart":         w.restart,
			"restartAll":      w.restartAll,
			"leave":           w.leave,
			"partition":       w.partition,
			"heal":            w.heal,
			"tellBackend":     w.tellBackend,
			"setRevision":     w.setRevision,
			"overhear":        w.overhear,
			"repeatOverheard": w.repeatOverheard,
		})
		w.settle()
	})
}
