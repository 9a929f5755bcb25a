package claim

// entry is what a replica knows of one key. With the key it takes 73 bytes,
// beside the map's overhead.
type entry struct {
	holder Claimant
	born   Timestamp
	state  State
	// copied entries come from another replica; the others are own votes.
	copied bool
}

// slotState is a replica's state of one slot in one epoch.
type slotState struct {
	group    Group
	position int
	// active is set once the replica knows the claims of the epoch before.
	active bool
	// fresh is set when no earlier life of this replica can have voted in this epoch.
	fresh bool
	// vouched is set when enough confirmed members said that no newer epoch
	// sealed the slot.
	vouched bool
	// caughtUp is set once the floor was lowered with the members' help.
	caughtUp bool
	// floor is the birth after which the replica knows all that it must know.
	floor    Timestamp
	known    Incarnations
	claims   map[Key]entry
	recovery recovery
}

// merge takes in what another replica knows of a key.
func (s *slotState) merge(copied ClaimCopy) {
	incoming := entry{holder: copied.Holder, born: copied.Born, state: copied.State, copied: true}
	present, found := s.claims[copied.Key]
	if !found {
		s.claims[copied.Key] = incoming
		return
	}
	s.claims[copied.Key] = combine(present, incoming)
}

// combine joins two replicas' knowledge of one key. An outcome wins over a
// claim, an own vote stands, and two different holders are a conflict: either
// may have been granted.
func combine(present, incoming entry) entry {
	switch {
	case incoming.state > StateConflict || present.state > StateConflict:
		if incoming.state > present.state {
			incoming.copied = present.copied
			return incoming
		}
		return present
	case !present.copied:
		return present
	case incoming.state == StateConflict || incoming.holder != present.holder:
		present.state = StateConflict
		return present
	default:
		return present
	}
}

// copyClaims lists all claims for another replica.
func (s *slotState) copyClaims() []ClaimCopy {
	copies := make([]ClaimCopy, 0, len(s.claims))
	for key, claim := range s.claims {
		copies = append(copies, ClaimCopy{Key: key, Holder: claim.holder, Born: claim.born, State: claim.state})
	}
	return copies
}

// expire forgets the claims on keys born at the horizon or before, and returns
// how many there were.
func (s *slotState) expire(horizon Timestamp) int {
	before := len(s.claims)
	for key, claim := range s.claims {
		if claim.born <= horizon {
			delete(s.claims, key)
		}
	}
	return before - len(s.claims)
}
