package daemon

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
	if !d.canClaim() {
		reasons = append(reasons, "new claims cannot be voted on yet")
	}
	if !current.BackendsKnown {
		reasons = append(reasons, "the back ends are not known yet")
	}
	return reasons
}
