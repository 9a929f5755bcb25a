package experiment

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/baseline"
	"github.com/lotusward/lotusward/internal/lab/simulation"
)

// PolicyName names a policy on the command line and in tables.
type PolicyName string

// The policies.
const (
	PolicyRandom           PolicyName = "random"
	PolicyRoundRobin       PolicyName = "round-robin"
	PolicyLeastOutstanding PolicyName = "least-outstanding"
	PolicyRendezvous       PolicyName = "rendezvous"
	PolicyLotusward        PolicyName = "lotusward"
	PolicyClairvoyant      PolicyName = "clairvoyant"
)

// Policies lists all policies in the order of tables.
func Policies() []PolicyName {
	return []PolicyName{
		PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding,
		PolicyRendezvous, PolicyLotusward, PolicyClairvoyant,
	}
}

// factoryOf returns what makes a policy's instances, or false for an unknown name.
func factoryOf(name PolicyName) (simulation.PolicyFactory, bool) {
	if !slices.Contains(Policies(), name) {
		return nil, false
	}
	return func(info simulation.DaemonInfo) scheduler.Policy {
		switch name {
		case PolicyRandom:
			return baseline.NewRandom(info.Seed)
		case PolicyRoundRobin:
			return baseline.NewRoundRobin(info.Seed)
		case PolicyLeastOutstanding:
			return baseline.NewLeastOutstanding(info.Seed)
		case PolicyRendezvous:
			return baseline.NewRendezvous(info.Seed)
		case PolicyClairvoyant:
			return baseline.NewClairvoyant(info.Cluster, info.Seed)
		default:
			return scheduler.New(scheduler.Options{Zone: info.Zone})
		}
	}, true
}
