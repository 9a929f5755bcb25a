package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// testLimits are small, so that expiry and floors matter in short runs.
var testLimits = Limits{
	Retention: 2 * time.Second, MaxClockSkew: 10 * time.Millisecond,
	MaxFutureBirth: 10 * time.Millisecond, Capacity: 6,
}

// simulation runs daemons over a network that loses, repeats, delays and
// reorders messages. Every choice comes from choose, so that a property test and
// a plain random generator can both drive it.
type simulation struct {
	choose   func(below int) int
	without  mechanisms
	actions  []weighted
	now      Timestamp
	machines []*machine
	history  []*Groups
	// retired is set when the newest roster has taken over from the one before.
	retired  bool
	network  []envelope
	keys     []simulatedKey
	oracle   oracle
	sequence uint64
}

type simulatedKey struct {
	key  Key
	born Timestamp
}

type envelope struct {
	to      identity.DaemonID
	message any
}

// machine is one daemon: its replica, and the claims that it coordinates.
type machine struct {
	daemon      dynamic.Daemon
	incarnation identity.Incarnation
	skew        time.Duration
	replica     *Replica
	groups      *Groups
	claims      []*run
}

// run is one claim call.
type run struct {
	coordinator *Coordinator
	claimant    Claimant
	key         simulatedKey
	// heldAtStart is the claimant whose grant of the key stood when the call began.
	heldAtStart Claimant
	granted     bool
	settlement  *SettleRequest
}

// oracle keeps the grant of each key that can lead to a run.
type oracle struct {
	holders   map[Key]Claimant
	ran       map[Key]bool
	violation string
}

func newSimulation(choose func(int) int, without mechanisms, machines int) *simulation {
	s := &simulation{choose: choose, without: without, now: TimestampOf(time.Unix(1000, 0)), retired: true}
	s.oracle = oracle{holders: map[Key]Claimant{}, ran: map[Key]bool{}}
	for index := range machines {
		name := fmt.Sprintf("daemon-%d", index)
		zone := identity.Zone(fmt.Sprintf("zone-%d", index%3))
		s.machines = append(s.machines, &machine{daemon: dynamic.Daemon{ID: identity.DaemonID(name), Zone: zone}})
	}
	s.history = []*Groups{s.groupsOf(1, s.machines[:min(3, machines)])}
	for _, machine := range s.machines {
		s.restart(machine)
		s.confirm(machine)
	}
	s.now = s.now.Add(time.Second)
	s.actions = s.drawActions()
	return s
}

// groupsOf gives all members to the one slot that the simulation uses.
func (s *simulation) groupsOf(epoch uint64, members []*machine) *Groups {
	groups := &Groups{Epoch: epoch}
	for _, member := range members {
		groups.groups[0] = append(groups.groups[0], member.daemon)
	}
	return groups
}

func (s *simulation) newest() *Groups { return s.history[len(s.history)-1] }

func (s *simulation) clock(m *machine) Timestamp { return s.now.Add(m.skew) }

func (s *simulation) pick() *machine { return s.machines[s.choose(len(s.machines))] }

// weighted is an action of the simulation and how often it is taken.
type weighted struct {
	weight int
	act    func()
}

// actions draws how often each action is taken. Each simulation has its own mix
// of faults, and most leave some out: that finds more than one mix for all.
func (s *simulation) drawActions() []weighted {
	actions := []weighted{
		{80, s.deliver}, {6, s.startClaim}, {4, s.retryClaim}, {2, s.endClaim}, {2, s.settle}, {2, s.resendSettle},
		{4, s.recover}, {3, func() { s.confirm(s.pick()) }}, {3, s.advance},
		{1, func() { m := s.pick(); m.replica.Expire(s.clock(m)) }},
	}
	faults := []weighted{
		{3, s.repeat}, {3, s.lose}, {2, func() { s.restart(s.pick()) }}, {1, s.restartAll},
		{2, s.changeRoster}, {3, s.learn}, {4, s.advance}, {4, s.startClaim}, {2, func() { s.setClock(s.pick()) }},
	}
	for _, fault := range faults {
		fault.weight *= s.choose(3)
		actions = append(actions, fault)
	}
	return actions
}

// step takes one action.
func (s *simulation) step() {
	total := 0
	for _, action := range s.actions {
		total += action.weight
	}
	choice := s.choose(total)
	for _, action := range s.actions {
		if choice < action.weight {
			action.act()
			return
		}
		choice -= action.weight
	}
}

// maxReorder is how many messages one message can overtake.
const maxReorder = 30

func (s *simulation) deliver() {
	for range 1 + s.choose(3) {
		if len(s.network) == 0 {
			return
		}
		index := s.choose(min(len(s.network), 1+s.choose(maxReorder)))
		message := s.network[index]
		s.network = slices.Delete(s.network, index, index+1)
		s.receive(message)
	}
}

func (s *simulation) repeat() {
	if len(s.network) > 0 {
		s.receive(s.network[s.choose(len(s.network))])
	}
}

func (s *simulation) lose() {
	if len(s.network) > 0 {
		index := s.choose(len(s.network))
		s.network = slices.Delete(s.network, index, index+1)
	}
}

func (s *simulation) receive(message envelope) {
	index := slices.IndexFunc(s.machines, func(m *machine) bool { return m.daemon.ID == message.to })
	m := s.machines[index]
	now := s.clock(m)
	switch body := message.message.(type) {
	case ClaimRequest:
		s.send(body.Claimant.Daemon, m.replica.HandleClaim(now, body))
	case SettleRequest:
		m.replica.HandleSettle(now, body)
	case ReadRequest:
		s.send(body.From, m.replica.HandleRead(now, body))
	case ReadReply:
		m.replica.HandleReadReply(now, body)
	case ClaimReply:
		for _, claim := range m.claims {
			if claim.claimant == body.Claimant {
				s.perform(claim, claim.coordinator.HandleReply(body))
			}
		}
	}
}

func (s *simulation) send(to identity.DaemonID, message any) {
	s.network = append(s.network, envelope{to: to, message: message})
}

func (s *simulation) perform(claim *run, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case SendClaim:
			s.send(action.To.ID, action.Request)
		case SendRelease:
			s.send(action.To.ID, action.Request)
		case Decide:
			s.decided(claim, action.Verdict)
		}
	}
}

func (s *simulation) decided(claim *run, verdict Verdict) {
	key := claim.key.key
	switch verdict {
	case VerdictGranted:
		claim.granted = true
		if _, held := s.oracle.holders[key]; held {
			s.oracle.violation = "a key was granted twice"
		}
		s.oracle.holders[key] = claim.claimant
	case VerdictUnavailable:
		holder, held := s.oracle.holders[key]
		if held && holder == claim.heldAtStart {
			s.oracle.violation = "a claim was told that nothing ran while a grant stood"
		}
	case VerdictRan:
		if !s.oracle.ran[key] {
			s.oracle.violation = "a claim was told that the request ran, which it had not"
		}
	}
}

func (s *simulation) startClaim() {
	m := s.pick()
	if m.groups == nil {
		return
	}
	if len(s.keys) == 0 || s.choose(4) == 0 {
		born := s.now.Add(time.Duration(s.choose(6)-2) * 10 * time.Millisecond)
		s.keys = append(s.keys, simulatedKey{key: Key{0, 0, byte(len(s.keys)), byte(len(s.keys) >> 8)}, born: born})
	}
	recent := min(3, len(s.keys))
	s.claim(m, s.keys[len(s.keys)-1-s.choose(recent)])
}

func (s *simulation) claim(m *machine, key simulatedKey) {
	s.sequence++
	claim := &run{key: key, heldAtStart: s.oracle.holders[key.key]}
	claim.claimant = Claimant{Daemon: m.daemon.ID, Incarnation: m.incarnation, Sequence: s.sequence}
	claim.coordinator = NewCoordinator(m.groups, key.key, claim.claimant, key.born)
	m.claims = append(m.claims, claim)
	s.perform(claim, claim.coordinator.Start())
}

func (s *simulation) pickClaim(wanted func(*run) bool) (*machine, *run) {
	m := s.pick()
	var fitting []*run
	for _, claim := range m.claims {
		if wanted(claim) {
			fitting = append(fitting, claim)
		}
	}
	if len(fitting) == 0 {
		return m, nil
	}
	return m, fitting[s.choose(len(fitting))]
}

// retryClaim asks again, in the newest epoch that the machine knows.
func (s *simulation) retryClaim() {
	m, claim := s.pickClaim(func(r *run) bool {
		return r.coordinator.Verdict() == VerdictPending || r.coordinator.Verdict() == VerdictEpochChanged
	})
	if claim == nil {
		return
	}
	if claim.coordinator.Verdict() == VerdictEpochChanged && m.groups.Epoch > claim.coordinator.request.Epoch {
		claim.coordinator = NewCoordinator(m.groups, claim.key.key, claim.claimant, claim.key.born)
	}
	s.perform(claim, claim.coordinator.Retry())
}

func (s *simulation) endClaim() {
	if _, claim := s.pickClaim(func(r *run) bool { return !r.granted }); claim != nil {
		s.perform(claim, claim.coordinator.Deadline())
	}
}

func (s *simulation) settle() {
	m, claim := s.pickClaim(func(r *run) bool { return r.granted && r.settlement == nil })
	if claim == nil {
		return
	}
	key := claim.key.key
	state := []identity.RunState{identity.RunStateNotRun, identity.RunStateRan, identity.RunStateUnknown}[s.choose(3)]
	switch state {
	case identity.RunStateNotRun:
		delete(s.oracle.holders, key)
	case identity.RunStateRan:
		s.oracle.ran[key] = true
	}
	claim.settlement = &SettleRequest{
		Epoch: m.groups.Epoch, Key: key, Claimant: claim.claimant, Born: claim.key.born, State: state,
	}
	s.sendSettle(m, claim)
}

func (s *simulation) resendSettle() {
	if m, claim := s.pickClaim(func(r *run) bool { return r.settlement != nil }); claim != nil {
		s.sendSettle(m, claim)
	}
}

func (s *simulation) sendSettle(m *machine, claim *run) {
	for _, member := range m.groups.Of(0) {
		s.send(member.ID, *claim.settlement)
	}
}

// restart forgets all that a machine knew. Its clock may be another one.
func (s *simulation) restart(m *machine) {
	m.incarnation++
	s.setClock(m)
	m.groups = nil
	m.claims = nil
	m.replica = NewReplica(Options{
		Self: m.daemon.ID, Incarnation: m.incarnation, Started: s.clock(m), Limits: testLimits, without: s.without,
	})
}

// setClock steps a machine's clock, perhaps backwards.
func (s *simulation) setClock(m *machine) {
	m.skew = time.Duration(s.choose(3)-1) * testLimits.MaxClockSkew
}

// restartAll restarts all machines, which then read the configuration.
func (s *simulation) restartAll() {
	for _, m := range s.machines {
		s.restart(m)
		s.confirm(m)
	}
}

func (s *simulation) recover() {
	m := s.pick()
	for _, read := range m.replica.Recover(s.clock(m)) {
		s.send(read.To.ID, read.Request)
	}
}

// changeRoster puts another roster, once the newest is active on some member.
func (s *simulation) changeRoster() {
	if !s.newestActive() {
		return
	}
	if !s.retired {
		s.retired = true
		return
	}
	size := 1 + s.choose(min(3, len(s.machines)))
	first := s.choose(len(s.machines))
	var members []*machine
	for offset := range size {
		members = append(members, s.machines[(first+offset)%len(s.machines)])
	}
	s.history = append(s.history, s.groupsOf(s.newest().Epoch+1, members))
	s.retired = false
}

func (s *simulation) newestActive() bool {
	return slices.ContainsFunc(s.machines, func(m *machine) bool {
		state := m.replica.current[0]
		return m.replica.epoch == s.newest().Epoch && state != nil && state.active
	})
}

// learn tells a machine of some configuration, perhaps an old one, by a peer.
func (s *simulation) learn() {
	m := s.pick()
	index := len(s.history) - 1 - s.choose(min(2, len(s.history)))
	s.setGroups(m, index)
}

// confirm lets a machine read the newest configuration from the table.
func (s *simulation) confirm(m *machine) {
	s.setGroups(m, len(s.history)-1)
	m.replica.ConfigurationConfirmed(s.newest().Epoch)
}

func (s *simulation) setGroups(m *machine, index int) {
	var previous *Groups
	if index > 0 && !(s.retired && index == len(s.history)-1) {
		previous = s.history[index-1]
	}
	groups := s.history[index]
	m.replica.SetGroups(s.clock(m), groups, previous)
	if m.groups == nil || m.groups.Epoch < groups.Epoch {
		m.groups = groups
	}
}

func (s *simulation) advance() {
	if s.choose(30) == 0 {
		s.now = s.now.Add(testLimits.Retention)
		return
	}
	s.now = s.now.Add(time.Duration(1+s.choose(25)) * time.Millisecond)
}
