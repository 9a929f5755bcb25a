// Package eligible holds the rules of which back ends may get a request at all.
package eligible

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/placement"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Work is the kind of work that back ends can be asked for. Service is empty
// for model work of any service; Model and Version are empty for web-app work.
type Work struct {
	Kind    identity.BackendKind
	Service identity.ServiceName
	Model   identity.ModelName
	Version identity.WeightsVersion
}

// WorksOf lists all the work that a back end takes.
func WorksOf(kind identity.BackendKind, service identity.ServiceName, models []enginewire.LoadedModel, leaving bool) []Work {
	if leaving {
		return nil
	}
	if kind == identity.KindApp {
		return withAndWithoutService(Work{Kind: kind, Service: service})
	}
	var works []Work
	for _, model := range models {
		if model.Ready {
			works = append(works, withAndWithoutService(Work{Kind: kind, Service: service, Model: model.Model, Version: model.Version})...)
		}
	}
	return works
}

func withAndWithoutService(work Work) []Work {
	anyService := work
	anyService.Service = ""
	if work.Service == "" {
		return []Work{work}
	}
	return []Work{work, anyService}
}

// NotExcluded is the filter that drops back ends on which the request failed before.
type NotExcluded struct{}

// Keep implements placement.Filter.
func (NotExcluded) Keep(query *placement.Query, candidate *placement.Candidate) bool {
	return !slices.Contains(query.Excluded, candidate.ID)
}
