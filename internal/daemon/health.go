package daemon

import "github.com/lotusward/lotusward/internal/config/static"

// NotReady lists why the daemon should get no callers; it is empty when it
// should.
func (d *Daemon) NotReady() []string {
	var reasons []string
	if d.stopping.Load() {
		reasons = append(reasons, "the daemon is stopping")
	}
	current := d.loop.View()
	if current.Document.Revision == 0 {
		reasons = append(reasons, "no configuration is loaded")
	}
	if current.Isolated {
		reasons = append(reasons, "the configuration cannot be confirmed as the newest")
	}
	if !d.canClaim() && !d.servesIsolated() {
		reasons = append(reasons, "new claims cannot be voted on yet")
	}
	if !current.BackendsKnown {
		reasons = append(reasons, "the back ends are not known yet")
	}
	return reasons
}

// servesIsolated tells whether this daemon is isolated and is to serve all the
// same. No claim can be voted on then, which is no reason to turn all other
// requests away.
func (d *Daemon) servesIsolated() bool {
	return d.settings.Isolation == static.IsolationServe && d.configuration.Status().Isolated
}
