package claim

import "github.com/lotusward/lotusward/internal/core/identity"

// ClaimRequest asks a replica for its vote.
type ClaimRequest struct {
	Epoch    uint64    `msgpack:"e"`
	Key      Key       `msgpack:"k"`
	Claimant Claimant  `msgpack:"c"`
	Born     Timestamp `msgpack:"b"`
}

// Answer is what a replica says to a claim.
type Answer uint8

// The answers to a claim.
const (
	// AnswerVoted means that the replica's vote is with the claimant.
	AnswerVoted Answer = iota + 1
	// AnswerHeld means that the replica's vote is with another claimant.
	AnswerHeld
	// AnswerRan means that the request ran.
	AnswerRan
	// AnswerUnknown means that a holder dispatched the request and does not know
	// the outcome, or that it cannot be known which claimant holds the key.
	AnswerUnknown
	// AnswerForgotten means that the key was born before the replica's floor.
	AnswerForgotten
	// AnswerExpired means that the key was born longer ago than the retention.
	AnswerExpired
	// AnswerFuture means that the key's birth lies so far ahead of the replica's
	// clock that no replica can have voted on it yet.
	AnswerFuture
	// AnswerFull means that the replica has no room, and no vote on this key.
	AnswerFull
	// AnswerNotReady means that the replica does not vote yet.
	AnswerNotReady
	// AnswerWrongEpoch means that the replica does not serve the key in the
	// claim's epoch; the reply's Epoch is the newest that it knows of.
	AnswerWrongEpoch
)

// Incarnations are the newest incarnations that a replica knows of the members
// of its group, by position in the group.
type Incarnations [GroupSize]identity.Incarnation

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	From     identity.DaemonID `msgpack:"f"`
	Epoch    uint64            `msgpack:"e"`
	Claimant Claimant          `msgpack:"c"`
	Answer   Answer            `msgpack:"a"`
	// Holder is set with AnswerHeld.
	Holder Claimant     `msgpack:"h"`
	Known  Incarnations `msgpack:"n"`
}

// SettleRequest tells a replica how a claim ended. RunStateNotRun gives the vote
// back; a claimant sends it only after deciding never to dispatch.
type SettleRequest struct {
	Epoch    uint64            `msgpack:"e"`
	Key      Key               `msgpack:"k"`
	Claimant Claimant          `msgpack:"c"`
	Born     Timestamp         `msgpack:"b"`
	State    identity.RunState `msgpack:"s"`
}

// SettleReply answers a SettleRequest.
type SettleReply struct {
	// Done is false when the replica could not record the end in the request's
	// epoch, so that it has to be sent again.
	Done bool `msgpack:"d"`
}

// ReadRequest asks a replica for its claims on slots. When ReadEpoch is Epoch,
// the requester catches up after a restart; when it is older, the requester
// takes the slots over, and the replica votes in ReadEpoch no more.
type ReadRequest struct {
	From        identity.DaemonID    `msgpack:"f"`
	Incarnation identity.Incarnation `msgpack:"i"`
	Epoch       uint64               `msgpack:"e"`
	ReadEpoch   uint64               `msgpack:"r"`
	Slots       []Slot               `msgpack:"s"`
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	From identity.DaemonID `msgpack:"f"`
	// To is the incarnation of the requester.
	To        identity.Incarnation `msgpack:"t"`
	Epoch     uint64               `msgpack:"e"`
	ReadEpoch uint64               `msgpack:"r"`
	Slots     []SlotCopy           `msgpack:"s"`
}

// SlotCopy is what a replica knows of a slot.
type SlotCopy struct {
	Slot Slot `msgpack:"s"`
	// Ready is false when the replica has nothing to tell yet.
	Ready bool `msgpack:"r"`
	// Confirmed is set when the replica knows that no newer epoch had sealed the
	// slot when it answered.
	Confirmed bool `msgpack:"c"`
	// Floor is the birth after which the replica knows all of its votes.
	Floor  Timestamp    `msgpack:"f"`
	Known  Incarnations `msgpack:"n"`
	Claims []ClaimCopy  `msgpack:"l"`
}

// ClaimCopy is a replica's knowledge of one claim.
type ClaimCopy struct {
	Key    Key       `msgpack:"k"`
	Holder Claimant  `msgpack:"h"`
	Born   Timestamp `msgpack:"b"`
	State  State     `msgpack:"s"`
}
