package query

import (
	"fmt"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

func eventModels(needs []ModelNeed) []dynamic.EventModel {
	models := make([]dynamic.EventModel, 0, len(needs))
	for _, need := range needs {
		models = append(models, dynamic.EventModel{
			Service: identity.ServiceName(need.Service),
			Model:   identity.ModelName(need.Model),
			Version: identity.WeightsVersion(need.Version),
			Engines: int(need.Engines),
		})
	}
	return models
}

func eventRoutes(routes []Route) []dynamic.Route {
	var converted []dynamic.Route
	for _, route := range routes {
		parts := routeParts.FindStringSubmatch(string(route))
		if parts == nil {
			continue // the parser takes nothing else
		}
		converted = append(converted, dynamic.Route{Service: identity.ServiceName(parts[1]), Prefix: parts[2]})
	}
	return converted
}

func eventPrefixes(prefixes []PromptPrefix) []dynamic.EventPrefix {
	var converted []dynamic.EventPrefix
	for _, prefix := range prefixes {
		converted = append(converted, dynamic.EventPrefix{
			Tenant:    identity.TenantName(prefix.Tenant),
			Model:     identity.ModelName(prefix.Model),
			ObjectKey: string(prefix.ObjectKey),
		})
	}
	return converted
}

func namesAs[N ~string](names []Name) []N {
	converted := make([]N, 0, len(names))
	for _, name := range names {
		converted = append(converted, N(name))
	}
	return converted
}

func findEvent(document *dynamic.Document, name string) *dynamic.Event {
	for index := range document.Events {
		if document.Events[index].Name == name {
			return &document.Events[index]
		}
	}
	return nil
}

func notFound(kind, name string, known []string) error {
	reason := fmt.Sprintf("there is no %s %q", kind, name)
	if near := nearest(name, known); near != "" {
		reason += fmt.Sprintf("; did you mean %s?", near)
	}
	return &RefusedError{Reason: reason}
}

func eventNames(document *dynamic.Document) []string {
	names := make([]string, 0, len(document.Events))
	for _, event := range document.Events {
		names = append(names, event.Name)
	}
	return names
}

func tenantNames(document *dynamic.Document) []string {
	names := make([]string, 0, len(document.Tenants))
	for _, tenant := range document.Tenants {
		names = append(names, string(tenant.Name))
	}
	return names
}

func modelNames(document *dynamic.Document) []string {
	names := make([]string, 0, len(document.Models))
	for _, model := range document.Models {
		names = append(names, string(model.Name))
	}
	return names
}
