package claim

import (
	"maps"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Options set up a replica.
type Options struct {
	Self        identity.DaemonID
	Incarnation identity.Incarnation
	// Started is when this life of the daemon began, before any message.
	Started Timestamp
	Limits  Limits
	// without turns mechanisms off, so that tests can show what each is for.
	without mechanisms
}

// mechanisms are parts of the protocol that tests can turn off.
type mechanisms struct {
	floor, seal, readSize, incarnations, confirmation, conflict, horizon, ownFloor bool
	future, vouchers, addressee                                                    bool
}

// Replica keeps the votes of one daemon. It is not safe for concurrent use.
type Replica struct {
	options Options
	now     Timestamp
	// startFloor bounds the births of the keys that earlier lives voted on.
	startFloor Timestamp
	// confirmedEpoch is the newest epoch that is known to have been the newest at
	// some time in this life; zero until then.
	confirmedEpoch uint64
	epoch          uint64
	// learnedAt is when the replica learned of its epoch.
	learnedAt     Timestamp
	previousEpoch uint64
	previousGroup *Groups
	current       map[Slot]*slotState
	previous      map[Slot]*slotState
	// seals are the epochs that took slots over, as far as they are newer than
	// the replica's own.
	seals map[Slot]uint64
	// superseded is set when a later life of this daemon is known.
	superseded bool
	count      int
	names      map[identity.DaemonID]identity.DaemonID
	sweep      Slot
}

// NewReplica makes the replica of a daemon that has just started.
func NewReplica(options Options) *Replica {
	return &Replica{
		options:    options,
		now:        options.Started,
		startFloor: options.Limits.birthsBefore(options.Started),
		current:    map[Slot]*slotState{},
		previous:   map[Slot]*slotState{},
		seals:      map[Slot]uint64{},
		names:      map[identity.DaemonID]identity.DaemonID{},
	}
}

// SetGroups tells the replica the groups of the newest roster. Previous is nil
// when all earlier epochs have been taken over, and otherwise the groups of the
// roster before, from which the newest has yet to take over. Groups that are not
// newer than the known ones are ignored.
func (r *Replica) SetGroups(now Timestamp, newest, previous *Groups) {
	r.advance(now)
	if newest.Epoch <= r.epoch {
		return
	}
	fresh := r.confirmedEpoch > 0 && r.confirmedEpoch < newest.Epoch
	r.previous, r.previousEpoch = r.current, r.epoch
	r.previousGroup = previous
	r.epoch, r.learnedAt = newest.Epoch, r.now
	r.current = r.newSlots(newest, fresh)
	maps.DeleteFunc(r.seals, func(_ Slot, epoch uint64) bool { return epoch <= r.epoch })
	clear(r.names)
	r.count = 0
	for _, state := range r.previous {
		r.count += len(state.claims)
	}
}

func (r *Replica) newSlots(groups *Groups, fresh bool) map[Slot]*slotState {
	slots := map[Slot]*slotState{}
	for slot := range Slot(SlotCount) {
		group := groups.Of(slot)
		position := group.Position(r.options.Self)
		if position < 0 {
			continue
		}
		slots[slot] = r.newSlot(group, position, fresh)
	}
	return slots
}

func (r *Replica) newSlot(group Group, position int, fresh bool) *slotState {
	state := &slotState{
		group:    group,
		position: position,
		fresh:    fresh || r.options.without.ownFloor,
		floor:    r.startFloor,
		claims:   map[Key]entry{},
	}
	state.known[position] = r.options.Incarnation
	if r.previousGroup == nil {
		state.active = true
		state.floor = r.limits().birthsBefore(r.now)
	}
	return state
}

// ConfigurationConfirmed tells the replica that this was the newest epoch at some
// time in this life: by a read of the table, or by a majority of daemons that are
// confirmed themselves, if a roster takes effect only once a majority of daemons
// has it in force. Until then the replica does not vote, unless enough other
// members vouch that no newer epoch sealed the slot: an earlier life may have
// been sealed.
func (r *Replica) ConfigurationConfirmed(epoch uint64) {
	r.confirmedEpoch = max(r.confirmedEpoch, epoch)
}

func (r *Replica) limits() Limits { return r.options.Limits }

// advance keeps the replica's time from running backwards: what it expired once
// must stay refused.
func (r *Replica) advance(now Timestamp) { r.now = max(r.now, now) }

func (r *Replica) confirmed() bool {
	return r.options.without.confirmation || (r.confirmedEpoch > 0 && r.epoch >= r.confirmedEpoch)
}

// newestEpoch is the newest epoch that the replica knows of for a slot.
func (r *Replica) newestEpoch(slot Slot) uint64 { return max(r.epoch, r.seals[slot]) }

// serves tells whether an epoch is the replica's own and was not taken over.
func (r *Replica) serves(slot Slot, epoch uint64) bool {
	return r.epoch == epoch && r.newestEpoch(slot) == epoch
}

// HandleClaim answers a claim, and gives the vote when it is free.
func (r *Replica) HandleClaim(now Timestamp, request ClaimRequest) ClaimReply {
	r.advance(now)
	slot := request.Key.Slot()
	reply := ClaimReply{From: r.options.Self, Epoch: r.newestEpoch(slot), Claimant: request.Claimant}
	state := r.current[slot]
	if state == nil || !r.serves(slot, request.Epoch) {
		reply.Answer = AnswerWrongEpoch
		return reply
	}
	reply.Known = state.known
	if present, found := state.claims[request.Key]; found {
		reply.Answer, reply.Holder = r.answerKnown(state, present, request)
		return reply
	}
	reply.Answer = r.vote(state, request)
	return reply
}

// answerKnown answers a claim on a key that the replica knows of. A vote that
// was copied from another replica counts only above the floor: below it, the
// replica may have voted otherwise in an earlier life.
func (r *Replica) answerKnown(state *slotState, present entry, request ClaimRequest) (Answer, Claimant) {
	switch {
	case present.state == StateRan:
		return AnswerRan, Claimant{}
	case present.born <= r.limits().horizon(r.now):
		return AnswerExpired, Claimant{}
	case present.state == StateConflict || present.state == StateUnknown:
		return AnswerUnknown, Claimant{}
	case present.holder != request.Claimant:
		return AnswerHeld, present.holder
	case !r.votes(state):
		return AnswerNotReady, Claimant{}
	case present.copied && r.belowFloor(state, request.Born):
		return AnswerForgotten, Claimant{}
	default:
		return AnswerVoted, Claimant{}
	}
}

// vote gives the vote for a key that the replica has no claim on, if it may.
func (r *Replica) vote(state *slotState, request ClaimRequest) Answer {
	switch {
	case request.Born <= r.limits().horizon(r.now):
		return AnswerExpired
	case request.Born > r.limits().birthsBefore(r.now):
		return AnswerFuture
	case request.Born > r.now.Add(r.limits().MaxFutureBirth) && !r.options.without.future:
		return AnswerNotReady
	case !r.votes(state):
		return AnswerNotReady
	case r.belowFloor(state, request.Born):
		return AnswerForgotten
	case r.count >= r.limits().Capacity:
		return AnswerFull
	}
	holder := request.Claimant
	holder.Daemon = r.intern(holder.Daemon)
	state.claims[request.Key] = entry{holder: holder, born: request.Born, state: StateRunning}
	r.count++
	return AnswerVoted
}

func (r *Replica) votes(state *slotState) bool {
	return state.active && !r.superseded && (r.confirmed() || state.vouched)
}

func (r *Replica) belowFloor(state *slotState, born Timestamp) bool {
	return born <= state.floor && !r.options.without.floor
}

// HandleSettle records how a claim ended. It holds in every epoch that the
// replica knows the claim in.
func (r *Replica) HandleSettle(now Timestamp, request SettleRequest) SettleReply {
	r.advance(now)
	slot := request.Key.Slot()
	if state := r.previous[slot]; state != nil {
		r.settle(state, request)
	}
	state := r.current[slot]
	if state == nil {
		return SettleReply{Done: r.epoch == request.Epoch}
	}
	r.settle(state, request)
	return SettleReply{Done: r.epoch == request.Epoch && state.active}
}

func (r *Replica) settle(state *slotState, request SettleRequest) {
	before := len(state.claims)
	present, found := state.claims[request.Key]
	own := found && present.holder == request.Claimant
	switch request.State {
	case identity.RunStateNotRun:
		if own && present.state == StateRunning {
			delete(state.claims, request.Key)
		}
	case identity.RunStateRan:
		r.recordOutcome(state, request, StateRan)
	case identity.RunStateUnknown:
		if !found || present.state < StateUnknown {
			r.recordOutcome(state, request, StateUnknown)
		}
	}
	r.count += len(state.claims) - before
}

func (r *Replica) recordOutcome(state *slotState, request SettleRequest, outcome State) {
	holder := request.Claimant
	holder.Daemon = r.intern(holder.Daemon)
	state.claims[request.Key] = entry{holder: holder, born: request.Born, state: outcome}
}

// intern keeps one copy of each daemon name, whatever message brought it.
func (r *Replica) intern(name identity.DaemonID) identity.DaemonID {
	if kept, found := r.names[name]; found {
		return kept
	}
	r.names[name] = name
	return name
}

// slotsPerSweep is how many slots one call of Expire looks at.
const slotsPerSweep = 64

// Expire forgets expired claims in the next few slots.
func (r *Replica) Expire(now Timestamp) {
	r.advance(now)
	horizon := r.limits().horizon(r.now)
	for range slotsPerSweep {
		for _, slots := range [...]map[Slot]*slotState{r.current, r.previous} {
			if state := slots[r.sweep]; state != nil {
				r.count -= state.expire(horizon)
			}
		}
		r.sweep = (r.sweep + 1) % SlotCount
	}
}

// Status is a summary of a replica.
type Status struct {
	Epoch uint64
	// Slots is how many slots the replica serves, and ActiveSlots in how many of
	// them it votes. A next roster may be put only once each slot is active on at
	// least one of its replicas; that is so when the two are equal on all daemons
	// of the newest roster but at most two.
	Slots, ActiveSlots int
	Claims             int
	Confirmed          bool
	// HighestFloor is the latest birth that any slot's votes are limited to.
	HighestFloor Timestamp
}

// Status returns a summary.
func (r *Replica) Status() Status {
	status := Status{Epoch: r.epoch, Slots: len(r.current), Claims: r.count, Confirmed: r.confirmed()}
	for _, state := range r.current {
		if r.votes(state) {
			status.ActiveSlots++
		}
		status.HighestFloor = max(status.HighestFloor, state.floor)
	}
	return status
}

// slotsInOrder lists the replica's slots in ascending order.
func (r *Replica) slotsInOrder() []Slot { return slices.Sorted(maps.Keys(r.current)) }
