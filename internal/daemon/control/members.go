package control

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
)

// Membership connects the loop with the membership core, which it owns.
type Membership struct {
	Node *membership.Node
	// Send sends a message without blocking.
	Send func(send membership.Send)
	// OnMembers is told of every changed member list.
	OnMembers func(members []membership.Member)
	// OnHigherRevision is told where a higher configuration revision was seen. It
	// must not block.
	OnHigherRevision func(seen membership.HighestRevisionSeen)
}

// SetMembership gives the loop its membership core, before Run.
func (l *Loop) SetMembership(connected Membership) {
	l.state.membership = &connected
	connected.OnMembers(connected.Node.Members())
}

// HandleMembership takes a message of another daemon.
func (l *Loop) HandleMembership(from identity.DaemonID, address string, message membership.Message) {
	l.post(memberMessage{from: from, address: address, message: message})
}

// Leave tells the other daemons that this one leaves by its own will.
func (l *Loop) Leave() {
	l.post(memberLeave{})
}

type memberMessage struct {
	from    identity.DaemonID
	address string
	message membership.Message
}

func (e memberMessage) apply(state *state, now time.Time) {
	if state.membership != nil {
		state.carry(now, state.membership.Node.Handle(now, e.from, e.address, e.message))
	}
}

type memberLeave struct{}

func (e memberLeave) apply(state *state, now time.Time) {
	if state.membership != nil {
		state.carry(now, state.membership.Node.Leave(now))
	}
}

// carry does what the membership core decided.
func (s *state) carry(now time.Time, actions []membership.Action) {
	membersChanged := false
	for _, action := range actions {
		switch decided := action.(type) {
		case membership.Send:
			s.membership.Send(decided)
		case membership.MemberChanged:
			membersChanged = true
		case membership.BackendLeaving:
			s.registry.ObserveLeaving(now, decided.Fact.Backend, decided.Fact.Version)
			s.refresh(now)
		case membership.HighestRevisionSeen:
			s.membership.OnHigherRevision(decided)
		}
	}
	if membersChanged {
		s.observeMembers(now, s.publishMembers())
	}
}

// publishMembers shows the member list to the other goroutines. It is called on
// every change of who is there, and now and then for the revisions in force.
func (s *state) publishMembers() []membership.Member {
	if s.membership == nil {
		return nil
	}
	members := s.membership.Node.Members()
	s.membership.OnMembers(members)
	return members
}

// tellLeaving spreads what this daemon itself saw of a back end's state.
func (s *state) tellLeaving(now time.Time, id identity.BackendID, stateVersion uint64, leaving bool) {
	if s.membership == nil {
		return
	}
	s.membership.Node.ObserveBackend(now, membership.BackendFact{
		Backend: id, Version: stateVersion, Leaving: leaving,
	})
}
