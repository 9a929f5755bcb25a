package control

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/share"
)

// Sharing connects the loop with what daemons tell each other about placements
// and about their shares of the tenants' limits.
type Sharing struct {
	Self   identity.DaemonID
	Sharer *share.Sharer
	// SendNotices tells other daemons what was placed here. It must not block.
	SendNotices func(notices []scheduler.Notice)
	// SendShares sends a message about shares. It must not block.
	SendShares func(outgoing share.Outgoing)
}

// SetSharing gives the loop its part in the sharing, before Run.
func (l *Loop) SetSharing(connected Sharing) {
	l.state.sharing = &connected
}

// HandleNotices takes what another daemon has placed.
func (l *Loop) HandleNotices(notices []scheduler.Notice) {
	l.post(noticesReceived{notices: notices})
}

// HandleShares takes another daemon's message about shares.
func (l *Loop) HandleShares(from identity.DaemonID, message share.Message) {
	l.post(sharesReceived{from: from, message: message})
}

type noticesReceived struct{ notices []scheduler.Notice }

func (e noticesReceived) apply(state *state, now time.Time) {
	if policy, shares := state.policy.(scheduler.Sharing); shares {
		policy.ObserveNotices(now, e.notices)
	}
}

type sharesReceived struct {
	from    identity.DaemonID
	message share.Message
}

func (e sharesReceived) apply(state *state, now time.Time) {
	if state.sharing != nil {
		state.sharing.Sharer.Handle(now, e.from, e.message)
	}
}

// tickSharing tells the others what was placed here, and brings the shares of the
// tenants' limits up to date.
func (s *state) tickSharing(now time.Time) {
	if s.sharing == nil {
		return
	}
	if policy, shares := s.policy.(scheduler.Sharing); shares {
		if notices := policy.TakeNotices(); len(notices) > 0 {
			s.sharing.SendNotices(notices)
		}
	}
	if now.Sub(s.sharedAt) < share.TickInterval {
		return
	}
	s.sharedAt = now
	limits, messages := s.sharing.Sharer.Tick(now)
	if limits != nil {
		// In force before a message lends any part of it to another daemon.
		s.policy.SetTenants(now, limits)
	}
	for _, message := range messages {
		s.sharing.SendShares(message)
	}
}

// shareDocument takes who owns a part of the limits, and the limits, from a
// configuration. All daemons must go by the same list, so it is the newest roster
// of claim replicas, not the live members.
func (s *state) shareDocument(now time.Time) {
	if s.sharing == nil {
		return
	}
	// Without a roster a daemon cannot know who else there is: it goes by the whole
	// limit until the first roster is there.
	owners := []identity.DaemonID{s.sharing.Self}
	if roster, found := s.document.NewestRoster(); found {
		owners = nil
		for _, daemon := range roster.Daemons {
			owners = append(owners, daemon.ID)
		}
	}
	limits := make([]scheduler.TenantLimit, 0, len(s.document.Tenants))
	for _, tenant := range s.document.Tenants {
		limits = append(limits, scheduler.TenantLimit{
			Tenant:             tenant.Name,
			Weight:             tenant.Limits.Weight,
			TokensPerSecond:    tenant.Limits.TokensPerSecond,
			ConcurrentRequests: tenant.Limits.ConcurrentRequests,
		})
	}
	s.sharing.Sharer.SetMembers(owners)
	s.sharing.Sharer.SetLimits(limits)
	s.sharedAt = time.Time{}
	s.tickSharing(now)
}
