package model

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Models lists the models that the engine holds or loads, by name.
func (e *Engine) Models() []enginewire.LoadedModel {
	models := make([]enginewire.LoadedModel, 0, len(e.models))
	for _, loaded := range e.models {
		models = append(models, loaded)
	}
	slices.SortFunc(models, func(one, other enginewire.LoadedModel) int {
		return strings.Compare(string(one.Model), string(other.Model))
	})
	return models
}

// Loaded returns the version of a model that is ready, or false.
func (e *Engine) Loaded(name identity.ModelName) (identity.WeightsVersion, bool) {
	loaded, found := e.models[name]
	return loaded.Version, found && loaded.Ready
}

// SetLoading marks a model as loading when no version of it is ready. A ready
// version goes on serving until SetLoaded replaces it.
func (e *Engine) SetLoading(name identity.ModelName, version identity.WeightsVersion) {
	if _, ready := e.Loaded(name); ready {
		return
	}
	e.models[name] = enginewire.LoadedModel{Model: name, Version: version}
}

// SetLoaded makes a version of a model ready. When it replaces another version,
// the cache is cleared, and requests that wait for the other are refused.
func (e *Engine) SetLoaded(now time.Time, name identity.ModelName, version identity.WeightsVersion) {
	e.advance(now)
	before, ready := e.Loaded(name)
	adapters := e.models[name].Adapters
	e.models[name] = enginewire.LoadedModel{Model: name, Version: version, Adapters: adapters, Ready: true}
	if ready && before != version {
		e.dropVersion(now, name, enginewire.CodeWrongWeights)
	}
}

// Unload removes a model. Requests that run on it end; those that wait are refused.
func (e *Engine) Unload(now time.Time, name identity.ModelName) {
	e.advance(now)
	delete(e.models, name)
	e.dropVersion(now, name, enginewire.CodeModelNotLoaded)
}

// SetAdapter adds or removes an adapter of a model that the engine holds.
func (e *Engine) SetAdapter(name identity.ModelName, adapter identity.AdapterName, present bool) {
	loaded, found := e.models[name]
	if !found {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(loaded.Adapters), func(other identity.AdapterName) bool {
		return other == adapter
	})
	if present {
		kept = append(kept, adapter)
	}
	loaded.Adapters = kept
	e.models[name] = loaded
}

// dropVersion refuses the requests that wait for a model and clears the cache.
func (e *Engine) dropVersion(now time.Time, name identity.ModelName, code string) {
	for _, candidate := range slices.Clone(e.waiting) {
		if candidate.request.Model != name {
			continue
		}
		e.remove(candidate)
		e.results = append(e.results, Refused{At: now, Key: candidate.request.Key, Code: code})
	}
	e.cache.clear()
}

// LoadClock gives the time that weight loads take: longer when more engines load
// at once than the limit allows. All engines of a service share one.
type LoadClock struct {
	// Time is how long one load takes below the limit.
	Time time.Duration
	// Limit is how many loads run at full speed.
	Limit int
	ends  []time.Time
}

// Begin starts a load and returns when it ends.
func (c *LoadClock) Begin(now time.Time) time.Time {
	c.ends = slices.DeleteFunc(c.ends, func(end time.Time) bool { return !end.After(now) })
	active := len(c.ends) + 1
	duration := c.Time
	if c.Limit > 0 && active > c.Limit {
		duration = duration * time.Duration(active) / time.Duration(c.Limit)
	}
	end := now.Add(duration)
	c.ends = append(c.ends, end)
	return end
}
