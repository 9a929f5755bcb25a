package view

import (
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// servingVersions finds the models whose configured weights version is ready on
// fewer than half of the engines that have the model, with the version that most
// engines have. During a rolling change requests so move over once, when enough
// engines can take them, and daemons that see the same engines agree.
func servingVersions(models []dynamic.Model, backends []scheduler.Backend) map[identity.ModelName]identity.WeightsVersion {
	ready := readyEngines(backends)
	serving := make(map[identity.ModelName]identity.WeightsVersion)
	for _, model := range models {
		versions := ready[model.Name]
		total := 0
		for _, engines := range versions {
			total += engines
		}
		if total == 0 || 2*versions[model.Version] >= total {
			continue
		}
		serving[model.Name] = mostCommon(versions)
	}
	return serving
}

// readyEngines counts the engines that take work, by model and version.
func readyEngines(backends []scheduler.Backend) map[identity.ModelName]map[identity.WeightsVersion]int {
	ready := make(map[identity.ModelName]map[identity.WeightsVersion]int)
	for _, backend := range backends {
		if backend.Leaving {
			continue
		}
		for _, loaded := range backend.Models {
			versions, found := ready[loaded.Model]
			if !found {
				versions = make(map[identity.WeightsVersion]int)
				ready[loaded.Model] = versions
			}
			versions[loaded.Version]++
		}
	}
	return ready
}

// mostCommon returns the version with the most engines, and of equals the least by name.
func mostCommon(versions map[identity.WeightsVersion]int) identity.WeightsVersion {
	var most identity.WeightsVersion
	for version, engines := range versions {
		if most == "" || engines > versions[most] || engines == versions[most] && version < most {
			most = version
		}
	}
	return most
}
