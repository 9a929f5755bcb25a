package claim

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// slotsPerRead bounds the slots of one read, and so the size of its reply.
const slotsPerRead = 64

// recovery is what a replica has gathered for one slot, to take over the claims
// of the epoch before and to learn again what an earlier life knew.
type recovery struct {
	// previous are the floors of the members of the earlier group that were read,
	// and members those of the present group, by position.
	previous, members readSet
	vouchers          [GroupSize]bool
}

// readSet is the floors of the replicas that were read, by position.
type readSet struct {
	read   [GroupSize]bool
	floors [GroupSize]Timestamp
}

func (s *readSet) add(position int, floor Timestamp) {
	s.read[position] = true
	s.floors[position] = floor
}

func (s *readSet) count() int { return countTrue(s.read) }

// highest returns the highest floor: below it, at least one of the replicas has
// forgotten votes.
func (s *readSet) highest() Timestamp {
	var highest Timestamp
	for position, read := range s.read {
		if read {
			highest = max(highest, s.floors[position])
		}
	}
	return highest
}

func countTrue(flags [GroupSize]bool) int {
	count := 0
	for _, flag := range flags {
		if flag {
			count++
		}
	}
	return count
}

// Read is a read to send to another daemon, or to this one.
type Read struct {
	To      dynamic.Daemon
	Request ReadRequest
}

// readTarget is what the slots of one read have in common.
type readTarget struct {
	daemon dynamic.Daemon
	epoch  uint64
}

// Recover returns the reads that are still needed. Reads are safe to repeat, so
// the caller sends what it gets here every so often until there is nothing left.
func (r *Replica) Recover(now Timestamp) []Read {
	r.advance(now)
	wanted := map[readTarget][]Slot{}
	for _, slot := range r.slotsInOrder() {
		state := r.current[slot]
		if !state.active {
			r.wantPrevious(wanted, slot, state)
		}
		if r.wantsMembers(state) {
			wantMembers(wanted, slot, state, r.epoch)
		}
	}
	return r.reads(wanted)
}

func (r *Replica) wantPrevious(wanted map[readTarget][]Slot, slot Slot, state *slotState) {
	for position, member := range r.previousGroup.Of(slot) {
		if !state.recovery.previous.read[position] {
			target := readTarget{daemon: member, epoch: r.previousGroup.Epoch}
			wanted[target] = append(wanted[target], slot)
		}
	}
}

// wantsMembers tells whether reading the other members can help: to become
// active, to vote before the configuration is confirmed, or to lower the floor.
func (r *Replica) wantsMembers(state *slotState) bool {
	forgetful := !state.caughtUp && state.floor > r.limits().horizon(r.now)
	return !state.active || !r.votes(state) || forgetful
}

func wantMembers(wanted map[readTarget][]Slot, slot Slot, state *slotState, epoch uint64) {
	for position, member := range state.group {
		if position != state.position {
			target := readTarget{daemon: member, epoch: epoch}
			wanted[target] = append(wanted[target], slot)
		}
	}
}

func (r *Replica) reads(wanted map[readTarget][]Slot) []Read {
	targets := slices.SortedFunc(maps.Keys(wanted), func(left, right readTarget) int {
		return cmp.Or(cmp.Compare(left.daemon.ID, right.daemon.ID), cmp.Compare(left.epoch, right.epoch))
	})
	var reads []Read
	for _, target := range targets {
		for slots := range slices.Chunk(wanted[target], slotsPerRead) {
			request := ReadRequest{
				From: r.options.Self, Incarnation: r.options.Incarnation,
				Epoch: r.epoch, ReadEpoch: target.epoch, Slots: slots,
			}
			reads = append(reads, Read{To: target.daemon, Request: request})
		}
	}
	return reads
}

// HandleRead answers a read of another replica. The answer holds for what the
// replica does afterwards: it votes no more in an epoch that was taken over, and
// its later votes carry the requester's incarnation.
func (r *Replica) HandleRead(now Timestamp, request ReadRequest) ReadReply {
	r.advance(now)
	reply := ReadReply{
		From: r.options.Self, To: request.Incarnation,
		Epoch: request.Epoch, ReadEpoch: request.ReadEpoch,
	}
	for _, slot := range request.Slots {
		if slot >= SlotCount {
			continue
		}
		if request.ReadEpoch == request.Epoch {
			reply.Slots = append(reply.Slots, r.copyForMember(slot, request))
		} else {
			reply.Slots = append(reply.Slots, r.seal(slot, request))
		}
	}
	return reply
}

// copyForMember answers a restarted member of the same epoch.
func (r *Replica) copyForMember(slot Slot, request ReadRequest) SlotCopy {
	state := r.current[slot]
	if state == nil || !r.serves(slot, request.Epoch) {
		return SlotCopy{Slot: slot}
	}
	position := state.group.Position(request.From)
	if position < 0 || !state.active {
		return SlotCopy{Slot: slot}
	}
	if !r.options.without.incarnations {
		state.known[position] = max(state.known[position], request.Incarnation)
	}
	copied := r.copyOf(slot, state)
	copied.Confirmed = r.votes(state)
	return copied
}

// seal ends the replica's votes in an epoch that is taken over.
func (r *Replica) seal(slot Slot, request ReadRequest) SlotCopy {
	if r.epoch > request.Epoch {
		return SlotCopy{Slot: slot}
	}
	if r.epoch < request.Epoch && !r.options.without.seal {
		r.seals[slot] = max(r.seals[slot], request.Epoch)
	}
	state := r.slotIn(slot, request.ReadEpoch)
	if state != nil && state.active {
		return r.copyOf(slot, state)
	}
	return SlotCopy{Slot: slot, Ready: true, Floor: r.limits().birthsBefore(r.sealedAt(request.Epoch))}
}

// sealedAt bounds the time of all votes in epochs before this one that this
// replica, in any life, knows nothing of.
func (r *Replica) sealedAt(epoch uint64) Timestamp {
	if r.epoch == epoch {
		return r.learnedAt
	}
	return r.now
}

func (r *Replica) slotIn(slot Slot, epoch uint64) *slotState {
	switch epoch {
	case r.epoch:
		return r.current[slot]
	case r.previousEpoch:
		return r.previous[slot]
	default:
		return nil
	}
}

// copyOf tells all that the replica knows of a slot. What it has expired counts
// as forgotten, since the reader's clock may be behind.
func (r *Replica) copyOf(slot Slot, state *slotState) SlotCopy {
	floor := max(state.floor, r.limits().horizon(r.now))
	if r.options.without.horizon {
		floor = state.floor
	}
	return SlotCopy{Slot: slot, Ready: true, Floor: floor, Known: state.known, Claims: state.copyClaims()}
}

// HandleReadReply takes in what another replica told.
func (r *Replica) HandleReadReply(now Timestamp, reply ReadReply) {
	r.advance(now)
	forThisLife := reply.To == r.options.Incarnation || r.options.without.addressee
	if !forThisLife || reply.Epoch != r.epoch {
		return
	}
	for _, copied := range reply.Slots {
		state := r.current[copied.Slot]
		if state == nil || !copied.Ready {
			continue
		}
		before := len(state.claims)
		switch {
		case reply.ReadEpoch == reply.Epoch:
			r.takeFromMember(state, reply.From, copied)
		case r.previousGroup != nil && reply.ReadEpoch == r.previousGroup.Epoch:
			r.takeFromPrevious(state, reply.From, copied)
		}
		r.count += len(state.claims) - before
	}
}

// takeFromPrevious counts a sealed replica of the epoch before. Once they are
// enough to meet each of its majorities, this replica is active.
func (r *Replica) takeFromPrevious(state *slotState, from identity.DaemonID, copied SlotCopy) {
	if state.active {
		return
	}
	group := r.previousGroup.Of(copied.Slot)
	position := group.Position(from)
	if position < 0 {
		return
	}
	r.mergeAll(state, copied.Claims, maxTimestamp)
	state.recovery.previous.add(position, copied.Floor)
	if state.recovery.previous.count() >= r.readSize(group) {
		r.activate(state, state.recovery.previous.highest())
	}
}

const maxTimestamp = Timestamp(1<<63 - 1)

// activate lets the replica vote above a floor, and above that of its own
// earlier lives if there can have been any in this epoch.
func (r *Replica) activate(state *slotState, floor Timestamp) {
	if !state.fresh {
		floor = max(floor, r.startFloor)
	}
	state.floor = floor
	state.active = true
}

// takeFromMember counts an active member of the same epoch. One of them is
// enough to know that the epoch before is sealed. A read set of them is enough
// to know all that an earlier life of this replica can have voted for.
func (r *Replica) takeFromMember(state *slotState, from identity.DaemonID, copied SlotCopy) {
	position := state.group.Position(from)
	if position < 0 || position == state.position {
		return
	}
	if copied.Known[state.position] > r.options.Incarnation {
		r.superseded = true
	}
	for member, incarnation := range copied.Known {
		if member != state.position && !r.options.without.incarnations {
			state.known[member] = max(state.known[member], incarnation)
		}
	}
	if !state.active {
		r.mergeAll(state, copied.Claims, maxTimestamp)
		r.activate(state, copied.Floor)
	} else {
		r.mergeAll(state, copied.Claims, state.floor)
	}
	state.recovery.members.add(position, copied.Floor)
	state.recovery.vouchers[position] = copied.Confirmed || r.options.without.vouchers
	if state.recovery.members.count() >= r.readSize(state.group) {
		state.floor = min(state.floor, state.recovery.members.highest())
		state.caughtUp = true
	}
	if countTrue(state.recovery.vouchers) >= r.readSize(state.group) {
		state.vouched = true
	}
}

// mergeAll takes in the claims on keys born until a bound. Above its floor, an
// active replica needs nobody's help.
func (r *Replica) mergeAll(state *slotState, claims []ClaimCopy, until Timestamp) {
	horizon := r.limits().horizon(r.now)
	for _, copied := range claims {
		if copied.Born <= horizon || copied.Born > until {
			continue
		}
		copied.Holder.Daemon = r.intern(copied.Holder.Daemon)
		if present, found := state.claims[copied.Key]; found && r.options.without.conflict && present.state < StateUnknown {
			continue
		}
		state.merge(copied)
	}
}

func (r *Replica) readSize(group Group) int {
	if r.options.without.readSize {
		return 1
	}
	return group.ReadSize()
}
