package dynamic

import "fmt"

func (c *checker) checkEvents() {
	seen := make(map[string]bool, len(c.document.Events))
	for index := range c.document.Events {
		event := &c.document.Events[index]
		path := fmt.Sprintf("events[%d]", index)
		checkName(&c.findings, seen, namePattern, event.Name, path+".name")
		c.checkWindow(event, path)
		for position, tenant := range event.Tenants {
			reference(&c.findings, c.tenants, tenant, fmt.Sprintf("%s.tenants[%d]", path, position), "tenant")
		}
		for position, model := range event.Models {
			c.checkEventModel(model, fmt.Sprintf("%s.models[%d]", path, position))
		}
		for position, route := range event.NotRepeatable {
			routePath := fmt.Sprintf("%s.not_repeatable[%d]", path, position)
			reference(&c.findings, c.services, route.Service, routePath+".service", "service")
			c.checkPathPrefix(route.Prefix, routePath+".prefix")
		}
		for position, prefix := range event.Prefixes {
			c.checkEventPrefix(prefix, fmt.Sprintf("%s.prefixes[%d]", path, position))
		}
	}
}

func (c *checker) checkWindow(event *Event, path string) {
	if event.Start.IsZero() {
		c.findings.Add(path+".start", "is empty")
	}
	if !event.Start.Before(event.End) {
		c.findings.Add(path+".end", "is not after the start")
	}
}

func (c *checker) checkEventModel(model EventModel, path string) {
	reference(&c.findings, c.services, model.Service, path+".service", "service")
	reference(&c.findings, c.models, model.Model, path+".model", "model")
	if model.Version == "" {
		c.findings.Add(path+".version", "is empty")
	}
	if model.Engines <= 0 {
		c.findings.Add(path+".engines", "must be positive")
	}
}

func (c *checker) checkEventPrefix(prefix EventPrefix, path string) {
	reference(&c.findings, c.tenants, prefix.Tenant, path+".tenant", "tenant")
	reference(&c.findings, c.models, prefix.Model, path+".model", "model")
	if prefix.ObjectKey == "" {
		c.findings.Add(path+".object_key", "is empty")
	}
}
