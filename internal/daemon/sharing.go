package daemon

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/share"
	"github.com/lotusward/lotusward/internal/daemon/control"
)

// noticeReceivers bounds how many daemons are told of each placement, so that the
// messages of a daemon do not grow with the deployment. Those of the own zone come
// first; up to that size all are told.
const noticeReceivers = 16

// wireSharing connects the control loop with the other daemons for placements
// and for shares of the tenants' limits.
func (d *Daemon) wireSharing() {
	d.loop.SetSharing(control.Sharing{
		Self:        d.settings.Identity.Daemon,
		Sharer:      share.New(d.settings.Identity.Daemon, time.Now()),
		SendNotices: d.sendNotices,
		SendShares:  d.sendShares,
	})
}

func (d *Daemon) sendNotices(notices []scheduler.Notice) {
	sent := 0
	for _, ownZone := range []bool{true, false} {
		for _, member := range d.members.All() {
			here := member.Zone == d.settings.Identity.Zone
			if member.ID == d.settings.Identity.Daemon || !member.Live() || here != ownZone {
				continue
			}
			if sent == noticeReceivers {
				return
			}
			d.transport.SendNotices(member.Address, notices)
			sent++
		}
	}
}

func (d *Daemon) sendShares(outgoing share.Outgoing) {
	for _, member := range d.members.Members() {
		if member.ID == outgoing.To {
			d.transport.SendShares(member.Address, outgoing.Message)
			return
		}
	}
}
