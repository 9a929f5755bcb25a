package claim

import (
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Verdict is what a claim came to.
type Verdict uint8

// The verdicts. But for VerdictGranted, the claimant will never dispatch.
const (
	// VerdictPending means that there is no verdict yet.
	VerdictPending Verdict = iota
	// VerdictGranted means that the claimant may dispatch, once.
	VerdictGranted
	// VerdictRunning means that another claimant has votes and may run the request.
	VerdictRunning
	// VerdictRan means that the request ran before.
	VerdictRan
	// VerdictInDoubt means that the request may have run before.
	VerdictInDoubt
	// VerdictUnavailable means that no claimant was granted before, and that this
	// one was not either.
	VerdictUnavailable
	// VerdictEpochChanged means that the group has moved on. The same claimant may
	// ask the group of the newer epoch.
	VerdictEpochChanged
)

// Action is what the caller of a coordinator has to do.
type Action interface{ isAction() }

// SendClaim asks a replica for its vote.
type SendClaim struct {
	To      dynamic.Daemon
	Request ClaimRequest
}

// SendRelease gives a vote back. It is repeated until the replica took it, by
// the caller; until then others are told that the claim is running.
type SendRelease struct {
	To      dynamic.Daemon
	Request SettleRequest
}

// Decide tells the verdict. It comes once, but that VerdictEpochChanged may be
// followed by VerdictInDoubt at the deadline.
type Decide struct {
	Verdict Verdict
}

func (SendClaim) isAction()   {}
func (SendRelease) isAction() {}
func (Decide) isAction()      {}

// Coordinator gathers the votes for one claim of one claimant.
type Coordinator struct {
	group   Group
	request ClaimRequest
	replies [GroupSize]ClaimReply
	verdict Verdict
}

// NewCoordinator makes the coordinator of a claim in the epoch of the groups.
func NewCoordinator(groups *Groups, key Key, claimant Claimant, born Timestamp) *Coordinator {
	return &Coordinator{
		group:   groups.Of(key.Slot()),
		request: ClaimRequest{Epoch: groups.Epoch, Key: key, Claimant: claimant, Born: born},
	}
}

// Start returns the first claims to send.
func (c *Coordinator) Start() []Action {
	if len(c.group) == 0 {
		return c.decide(VerdictInDoubt, nil)
	}
	return c.Retry()
}

// Retry asks again all replicas that have not voted. The caller calls it every
// so often until there is a verdict.
func (c *Coordinator) Retry() []Action {
	var actions []Action
	if c.verdict != VerdictPending {
		return nil
	}
	for position := range c.group {
		if c.replies[position].Answer != AnswerVoted {
			actions = append(actions, c.ask(position))
		}
	}
	return actions
}

func (c *Coordinator) ask(position int) Action {
	return SendClaim{To: c.group[position], Request: c.request}
}

// HandleReply takes a replica's answer. It is to be called also after the
// verdict: a late vote has to be given back.
func (c *Coordinator) HandleReply(reply ClaimReply) []Action {
	position := c.group.Position(reply.From)
	if position < 0 || reply.Claimant != c.request.Claimant {
		return nil
	}
	if c.verdict != VerdictPending {
		return c.afterVerdict(position, reply)
	}
	if reply.Answer != AnswerWrongEpoch && reply.Epoch != c.request.Epoch {
		return nil
	}
	c.replies[position] = reply
	actions := c.dropOutdated()
	verdict := c.evaluate()
	if verdict == VerdictPending {
		return actions
	}
	return c.decide(verdict, actions)
}

// Deadline ends a claim that has no verdict yet, or that would have to go on in
// a newer epoch.
func (c *Coordinator) Deadline() []Action {
	switch {
	case c.verdict != VerdictPending && c.verdict != VerdictEpochChanged:
		return nil
	case c.count(AnswerHeld) > 0:
		return c.decide(VerdictRunning, nil)
	case c.countNeverGranted() >= c.group.ReadSize():
		return c.decide(VerdictUnavailable, nil)
	default:
		return c.decide(VerdictInDoubt, nil)
	}
}

// Verdict returns the verdict, or VerdictPending.
func (c *Coordinator) Verdict() Verdict { return c.verdict }

// decide fixes the verdict. A claimant that was not granted gives back the votes
// that it has or may yet get; from here on it never dispatches. After a change
// of epoch it keeps them, since it may go on in the newer epoch.
func (c *Coordinator) decide(verdict Verdict, actions []Action) []Action {
	c.verdict = verdict
	if verdict != VerdictGranted && verdict != VerdictEpochChanged {
		for position := range c.group {
			if mayHaveVoted(c.replies[position].Answer) {
				actions = append(actions, c.release(position))
			}
		}
	}
	return append(actions, Decide{Verdict: verdict})
}

// mayHaveVoted tells whether a replica with this last answer may hold the
// claimant's vote now or by a message still on its way.
func mayHaveVoted(answer Answer) bool {
	switch answer {
	case AnswerRan, AnswerUnknown, AnswerExpired, AnswerForgotten:
		return false
	default:
		return true
	}
}

func (c *Coordinator) afterVerdict(position int, reply ClaimReply) []Action {
	if c.verdict == VerdictGranted || c.verdict == VerdictEpochChanged || reply.Answer != AnswerVoted {
		return nil
	}
	return []Action{c.release(position)}
}

func (c *Coordinator) release(position int) Action {
	return SendRelease{To: c.group[position], Request: SettleRequest{
		Epoch: c.request.Epoch, Key: c.request.Key, Claimant: c.request.Claimant,
		Born: c.request.Born, State: identity.RunStateNotRun,
	}}
}

// dropOutdated forgets votes of replicas that have restarted since, as told by
// other voters, and asks those replicas again. Without this, a vote of before
// the restart could add up with one of after it.
func (c *Coordinator) dropOutdated() []Action {
	var actions []Action
	for position := range c.group {
		if c.replies[position].Answer == AnswerVoted && c.outdated(position) {
			c.replies[position] = ClaimReply{}
			actions = append(actions, c.ask(position))
		}
	}
	return actions
}

func (c *Coordinator) outdated(position int) bool {
	own := c.replies[position].Known[position]
	for other := range c.group {
		if c.replies[other].Answer == AnswerVoted && c.replies[other].Known[position] > own {
			return true
		}
	}
	return false
}

// evaluate decides by the answers so far.
func (c *Coordinator) evaluate() Verdict {
	size, majority := len(c.group), c.group.Majority()
	votes := c.count(AnswerVoted)
	final := c.count(AnswerForgotten) + c.count(AnswerExpired)
	switch {
	case c.count(AnswerRan) > 0:
		return VerdictRan
	case c.count(AnswerUnknown) > 0:
		return VerdictInDoubt
	case votes >= majority:
		return VerdictGranted
	case votes+c.count(0) >= majority:
		return VerdictPending
	case c.epochChanged():
		return VerdictEpochChanged
	case c.heldByMajority():
		return VerdictRunning
	case size-final < majority:
		return VerdictInDoubt
	case c.yields():
		return VerdictRunning
	case size-c.count(AnswerFuture) < majority:
		return VerdictUnavailable
	case c.count(AnswerFull) > 0 && c.countNeverGranted() >= c.group.ReadSize():
		return VerdictUnavailable
	default:
		return VerdictPending
	}
}

// count counts the members whose last answer is this one; zero counts those
// that have not answered.
func (c *Coordinator) count(answer Answer) int {
	count := 0
	for position := range c.group {
		if c.replies[position].Answer == answer {
			count++
		}
	}
	return count
}

// countNeverGranted counts the replicas whose answer rules out that another
// claimant was granted with their vote.
func (c *Coordinator) countNeverGranted() int {
	return c.count(AnswerVoted) + c.count(AnswerFull) + c.count(AnswerFuture)
}

func (c *Coordinator) epochChanged() bool {
	for position := range c.group {
		reply := c.replies[position]
		if reply.Answer == AnswerWrongEpoch && reply.Epoch > c.request.Epoch {
			return true
		}
	}
	return false
}

// heldByMajority tells whether another claimant has been granted.
func (c *Coordinator) heldByMajority() bool {
	for position := range c.group {
		if c.replies[position].Answer != AnswerHeld {
			continue
		}
		same := 0
		for other := range c.group {
			if c.replies[other].Answer == AnswerHeld && c.replies[other].Holder == c.replies[position].Holder {
				same++
			}
		}
		if same >= c.group.Majority() {
			return true
		}
	}
	return false
}

// yields tells whether the claimant gives way to another one that is in its way:
// of claimants with split votes, the lowest keeps asking.
func (c *Coordinator) yields() bool {
	for position := range c.group {
		reply := c.replies[position]
		if reply.Answer == AnswerHeld && reply.Holder.Compare(c.request.Claimant) < 0 {
			return true
		}
	}
	return false
}

// Epoch returns the epoch that the coordinator asks in.
func (c *Coordinator) Epoch() uint64 { return c.request.Epoch }
