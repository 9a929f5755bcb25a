package sighting

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// MaximumNameBytes bounds the names in messages of others.
const MaximumNameBytes = 128

// Model is a model on a back end. On the wire it is an array.
type Model struct {
	//lint:ignore U1000 msgpack reads the tag
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Name     identity.ModelName
	Version  identity.WeightsVersion
	Adapters []identity.AdapterName
	Ready    bool
}

// Sighting is what a watcher last saw of a back end. On the wire it is an array.
type Sighting struct {
	//lint:ignore U1000 msgpack reads the tag
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Backend identity.BackendID
	// Sequence is the number of the change in the watcher's report.
	Sequence uint64
	// Withdrawn is set when the watcher has no more to say of the back end.
	Withdrawn bool
	// Reachable is false when the back end did not answer. Then only the state
	// version last seen is given of what follows.
	Reachable    bool
	Incarnation  identity.Incarnation
	StateVersion uint64
	State        enginewire.State
	Models       []Model
}

// Seen makes the sighting of a back end that reported its status.
func Seen(status enginewire.Status) Sighting {
	seen := Sighting{
		Backend: status.Backend, Reachable: true, Incarnation: status.Incarnation,
		StateVersion: status.StateVersion, State: status.State,
	}
	for _, model := range status.Models {
		seen.Models = append(seen.Models, Model{
			Name: model.Model, Version: model.Version, Adapters: model.Adapters, Ready: model.Ready,
		})
	}
	return seen
}

// Status gives the sighting as a status report without load. It is meant for a
// reachable back end.
func (s Sighting) Status() enginewire.Status {
	status := enginewire.Status{
		Backend: s.Backend, Incarnation: s.Incarnation, State: s.State, StateVersion: s.StateVersion,
	}
	for _, model := range s.Models {
		status.Models = append(status.Models, enginewire.LoadedModel{
			Model: model.Name, Version: model.Version, Adapters: model.Adapters, Ready: model.Ready,
		})
	}
	return status
}

// says tells whether two sightings of a back end say the same.
func (s Sighting) says(other Sighting) bool {
	if s.Withdrawn || other.Withdrawn || s.Reachable != other.Reachable {
		return s.Withdrawn == other.Withdrawn && s.Reachable == other.Reachable
	}
	if !s.Reachable {
		return true
	}
	return s.Incarnation == other.Incarnation && s.StateVersion == other.StateVersion &&
		s.State == other.State && slices.EqualFunc(s.Models, other.Models, Model.equal)
}

func (m Model) equal(other Model) bool {
	return m.Name == other.Name && m.Version == other.Version && m.Ready == other.Ready &&
		slices.Equal(m.Adapters, other.Adapters)
}

// size estimates the encoded size in bytes.
func (s Sighting) size() int {
	const fixed, ofReachable, ofModel = 18, 28, 6
	size := fixed + len(s.Backend)
	if !s.Reachable {
		return size
	}
	size += ofReachable + len(s.State)
	for _, model := range s.Models {
		size += ofModel + len(model.Name) + len(model.Version)
		for _, adapter := range model.Adapters {
			size += 2 + len(adapter)
		}
	}
	return size
}
