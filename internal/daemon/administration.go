package daemon

import (
	"time"

	"github.com/lotusward/lotusward/internal/adapter/adminhttp"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/daemon/administration"
)

// wireAdministration serves the administration API on this daemon's state and,
// through peer calls, on that of all others.
func (d *Daemon) wireAdministration() {
	handler := adminhttp.New(adminhttp.Options{
		Self:          d.settings.Identity.Daemon,
		Operators:     d.settings.Operators,
		Configuration: administration.Configuration{Runner: d.configuration},
		State: &administration.State{
			Views:   d.loop,
			Daemons: d.daemonRows,
			Report:  d.backendReport,
		},
		Peers: &administration.Peers{Others: d.otherDaemons, Caller: d.peers},
		Log:   d.part("administration"),
	})
	peer.Handle(d.rpc, administration.PathTable, administration.HandleTable(handler))
	d.admin = handler
}

// backendReport gives the newest status report of a back end.
func (d *Daemon) backendReport(backend identity.BackendID) (administration.Report, bool) {
	status, heardAt, found := d.loop.Status(backend)
	return administration.Report{Status: status, Observed: heardAt}, found
}

// otherDaemons lists whom a question of an operator goes to.
func (d *Daemon) otherDaemons() []administration.Member {
	var others []administration.Member
	for _, member := range d.members.All() {
		if member.ID == d.settings.Identity.Daemon || member.State == membership.StateLeft {
			continue
		}
		others = append(others, administration.Member{
			ID: member.ID, Address: member.Address, Dead: !member.Live(),
		})
	}
	return others
}

// daemonRows tells what this daemon knows of itself and of those that cannot
// speak for themselves.
func (d *Daemon) daemonRows() []query.Daemon {
	now := time.Now()
	var rows []query.Daemon
	for _, member := range d.members.All() {
		row := query.Daemon{
			Daemon: member.ID, Zone: member.Zone, Address: member.Address,
			State: member.State.String(), Incarnation: member.Incarnation, Revision: member.Revision,
		}
		if member.ID == d.settings.Identity.Daemon {
			row.Revision = d.configuration.Revision()
			row.Running = d.callers.Active()
			_, row.Controller = d.lease.Held()
			row.Observed = now
		}
		rows = append(rows, row)
	}
	return rows
}
