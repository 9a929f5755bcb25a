package daemon

import (
	"cmp"
	"time"

	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/daemon/configuration"
)

// wireConfiguration connects the configuration runner with the platform, the
// other daemons and the control loop.
func (d *Daemon) wireConfiguration() {
	d.configuration = configuration.New(configuration.Options{
		Self: configuration.Member{
			ID:      d.settings.Identity.Daemon,
			Address: d.advertisedPeerAddress(),
		},
		Table:   d.platform.table,
		Objects: d.platform.objects,
		Peers: configuration.CallingPeers{
			Membership: d.members,
			Caller:     d.peers,
		},
		Log:            d.part("configuration"),
		Clock:          time.Now,
		OnDocument:     d.loop.SetDocument,
		OnIsolated:     d.isolationChanged,
		IsolationLimit: d.settings.Tuning.IsolationTimeout,
		TableTimeout:   d.settings.Tuning.PlatformTimeout,
	})
	peer.Handle(d.rpc, configuration.PathHead, d.configuration.HandleHead)
	peer.Handle(d.rpc, configuration.PathPull, d.configuration.HandlePull)
	peer.Handle(d.rpc, configuration.PathPush, d.configuration.HandlePush)
}

// isolationChanged passes isolation on to traffic, unless the settings say to
// serve all the same.
func (d *Daemon) isolationChanged(isolated bool) {
	refuse := isolated && d.settings.Isolation == static.IsolationRefuse
	d.loop.SetIsolated(refuse)
}

// advertisedPeerAddress is the address that other daemons use for this one.
func (d *Daemon) advertisedPeerAddress() string {
	return cmp.Or(d.settings.Peers.Advertise, d.listeners.peer.Addr().String())
}
