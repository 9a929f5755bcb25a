package process

import (
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/lab/credential"
)

// addRoster makes all daemons claim replicas in the plan's document.
func (d *Deployment) addRoster() {
	if d.Plan.Document == nil {
		return
	}
	roster := dynamic.Roster{Epoch: 1}
	for _, daemon := range d.Daemons {
		roster.Daemons = append(roster.Daemons, dynamic.Daemon{
			ID: identity.DaemonID(daemon.Plan.ID), Zone: identity.Zone(daemon.Plan.Zone), Address: daemon.advertised(),
		})
	}
	withRoster := *d.Plan.Document
	withRoster.Rosters = []dynamic.Roster{roster}
	d.Plan.Document = &withRoster
}

func (d *Deployment) writeSettings(daemon *Daemon) error {
	var seeds []string
	for _, other := range d.Daemons {
		if other != daemon {
			seeds = append(seeds, other.advertised())
		}
	}
	operator := credential.Operator()
	settings := map[string]any{
		"identity": map[string]any{"daemon": daemon.Plan.ID, "zone": daemon.Plan.Zone, "region": "lab"},
		"listen": map[string]any{
			"callers": daemon.Callers, "admin": daemon.Admin, "peer": daemon.Peer, "health": daemon.Health,
		},
		"peers": map[string]any{
			"advertise": daemon.advertised(), "seeds": seeds, "keys": []any{map[string]any{"value": credential.PeerKey}},
		},
		"platform": map[string]any{"table": d.PlatformURL, "objects": d.PlatformURL, "machines": d.PlatformURL},
		"operators": []any{map[string]any{
			"name": operator.Name, "role": operator.Role, "token_sha256": operator.TokenSHA256,
		}},
	}
	text, err := yaml.Marshal(settings)
	if err != nil {
		return err
	}
	daemon.settingsPath = filepath.Join(d.Plan.Directory, daemon.Plan.ID+".yaml")
	return os.WriteFile(daemon.settingsPath, text, 0o600)
}
