package daemon

import (
	"time"

	"github.com/lotusward/lotusward/internal/adapter/adminhttp"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/core/prefix"
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

			HotPrefixes:     d.hotPrefixRows,
			WaitingRequests: d.waitingRows,
			TenantUse:       d.tenantUse,
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
	report := administration.Report{Status: status, Observed: heardAt, Assigned: d.loop.Assigned(backend)}
	return report, found
}

// hotPrefixesShown bounds the answer of one daemon.
const hotPrefixesShown = 50

func (d *Daemon) hotPrefixRows() []query.HotPrefix {
	now := time.Now()
	var rows []query.HotPrefix
	for _, hot := range d.loop.HotPrefixes(hotPrefixesShown) {
		rows = append(rows, query.HotPrefix{
			Prefix: hot.Hash.String(), Tenant: hot.Tenant, Model: hot.Model, Version: hot.Version,
			Tokens: hot.Blocks * prefix.BlockTokens, RequestsPerSecond: hot.RequestsPerSecond,
			Waiting: hot.Waiting, Observed: now,
		})
	}
	return rows
}

func (d *Daemon) waitingRows() []query.WaitingRequest {
	now := time.Now()
	var rows []query.WaitingRequest
	for _, waiting := range d.loop.WaitingRequests() {
		request := waiting.Request
		rows = append(rows, query.WaitingRequest{
			Request: request.ID, Daemon: d.settings.Identity.Daemon, Tenant: request.Tenant,
			Service: request.Service, Model: request.Model, Class: request.Class.String(),
			PromptTokens: request.PromptTokens, Waited: now.Sub(waiting.Since), Deadline: request.Deadline,
		})
	}
	return rows
}

func (d *Daemon) tenantUse(tenant identity.TenantName) administration.TenantUse {
	used := d.loop.TenantUsage(tenant)
	return administration.TenantUse{Running: used.Running, Waiting: used.Waiting}
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
