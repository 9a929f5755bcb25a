package directory

import (
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/relay"
)

// applyChecked confirms that the operators' rows have not changed since they were read.
func (d *Directory) applyChecked(got message) {
	if !maps.Equal(got.checked, d.rows) {
		return // the rows checked are those of an outdated read that was ignored
	}
	if d.state.Load() == nil {
		d.broadcastNothingDeclared(got.ended, d.freshness[tableDeclared].storeTime(got.began))
		return
	}
	d.confirm(got.began)
	d.broadcastDeclared(got.ended, d.freshness[tableDeclared].storeTime(got.began))
}

// applyDeclared applies what operators declared, as read from the store. A read of an earlier moment than a former
// one confirms nothing, and an older configuration never replaces a newer one.
func (d *Directory) applyDeclared(got message) {
	declared := got.declared
	if !d.freshness[tableDeclared].admit(got.began, got.ended, declared.Reading) {
		d.options.Log.WithFields(logrus.Fields{"store_version": declared.Version, "known_to": d.positions[tableDeclared].Load()}).
			Warn("An outdated reading is passed over.")
		return
	}
	d.malformed.noteAll(tableDeclared, declared.Malformed)
	if declared.Malformed != nil { // logged every time: read only after an operator's change
		d.options.Log.WithError(declared.Malformed).Error("What operators declared is malformed; the last good one stays in force.")
	}
	d.rows = declared.Rows
	if !declared.Found {
		d.broadcastNothingDeclared(got.ended, declared.Clock)
		return
	}
	d.readSoftware(declared)
	now := clock.Now()
	versionsChanged := d.nameVersions(now, declared)
	d.started = true
	state := d.state.Load()
	newer := declared.Configuration != nil && (state == nil || supersedes(declared.Configuration, declared.RowVersion, state))
	switch {
	case newer:
		d.publish(declared)
	case versionsChanged:
		d.publishVersions()
	}
	if d.state.Load() != nil {
		d.confirm(got.began)
		advance(d.positions[tableDeclared], declared.Version)
		d.publishMembersAndClock()
		d.broadcastDeclared(got.ended, declared.Clock)
	}
}

// supersedes reports whether a configuration replaces the present one: it has a higher version or, after the store
// was restored from a backup, the same version in a newer row. A restored store may hold an older configuration for
// a while.
func supersedes(configuration *routing.Configuration, rowVersion uint64, state *relay.State) bool {
	present := state.Table.Version()
	return configuration.Version > present || (configuration.Version == present && rowVersion > state.RowVersion)
}

// publish puts a configuration in force.
func (d *Directory) publish(declared *Declared) {
	d.state.Store(&relay.State{
		Table:      routing.Compile(declared.Configuration),
		RowVersion: declared.RowVersion,
		Versions:   d.copyVersions(),
		Software:   d.softwareInForce(),
	})
	d.options.Log.WithFields(logrus.Fields{
		"configuration": declared.Configuration.Version,
		"store_version": declared.Version,
		"routes":        len(declared.Configuration.Routes),
		"tenants":       len(declared.Configuration.Tenants),
	}).Info("A configuration is in force.")
}

// publishVersions publishes the remembered versions of weights, if there is a configuration.
func (d *Directory) publishVersions() {
	state := d.state.Load()
	if state == nil {
		return
	}
	renewed := *state
	renewed.Versions = d.copyVersions()
	d.state.Store(&renewed)
}
