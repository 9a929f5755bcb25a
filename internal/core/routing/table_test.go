package routing

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// TestMatchAgreesWithSearch compares Match with a linear search over all routes.
func TestMatchAgreesWithSearch(t *testing.T) {
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 0, 3)
	hosts := rapid.SampledFrom([]string{"one.example", "two.example"})
	rapid.Check(t, func(t *rapid.T) {
		var configuration Configuration
		seen := map[string]bool{}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			host := hosts.Draw(t, "host")
			prefix := "/" + strings.Join(append(segments.Draw(t, "prefix"), ""), "/")
			if seen[host+prefix] {
				continue
			}
			seen[host+prefix] = true
			configuration.Routes = append(configuration.Routes, Route{
				Name: host + prefix, Host: host, PathPrefix: prefix, Split: []Share{{Service: "s", Weight: 1}},
			})
		}
		table := Compile(&configuration)
		host := hosts.Draw(t, "asked host")
		path := "/" + strings.Join(append(segments.Draw(t, "path"), "x"), "/")

		want := ""
		for _, route := range configuration.Routes {
			better := len(route.PathPrefix) > len(strings.TrimPrefix(want, host)) || want == ""
			if route.Host == host && strings.HasPrefix(path, route.PathPrefix) && better {
				want = route.Name
			}
		}
		got := ""
		if match, found := table.Match(host+":80", path); found {
			got = match.Route.Name
		}
		assert.Equal(t, got, want)
	})
}

// TestSplitKeepsWeights checks that each service gets exactly its weight over a full cycle of the
// split.
func TestSplitKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.IntRange(0, 200).Draw(t, "first weight")
		second := rapid.IntRange(1, 200).Draw(t, "second weight")
		table := Compile(&Configuration{Routes: []Route{{
			Host: "h", PathPrefix: "/", Split: []Share{{Service: "first", Weight: first}, {Service: "second", Weight: second}},
		}}})
		counts := map[identity.ServiceName]int{}
		for range first + second {
			match, found := table.Match("h", "/x")
			assert.Assert(t, found)
			counts[match.Service]++
		}
		assert.Equal(t, counts["first"], first)
		assert.Equal(t, counts["second"], second)
	})
}

// TestHasRouteLeavesTheSplitAlone guards against lookups that shift a route's traffic split.
func TestHasRouteLeavesTheSplitAlone(t *testing.T) {
	table := Compile(&Configuration{Routes: []Route{{
		Host: "h", PathPrefix: "/a", Split: []Share{{Service: "first", Weight: 1}, {Service: "second", Weight: 1}},
	}}})
	chosen := map[identity.ServiceName]int{}
	for range 10 {
		match, found := table.Match("h", "/a/b")
		assert.Assert(t, found)
		chosen[match.Service]++
		assert.Assert(t, table.HasRoute("h:80", "/a/b"))
		assert.Assert(t, !table.HasRoute("h", "/b"))
	}
	assert.Equal(t, chosen["first"], 5)
}

// TestTenantByKey looks up a tenant by each of its keys, and none without a key.
func TestTenantByKey(t *testing.T) {
	table := Compile(&Configuration{Tenants: []Tenant{{Name: "a", Keys: []string{"k1", "k2"}}}})
	assert.Equal(t, table.Tenant("k2").Name, identity.TenantName("a"))
	assert.Assert(t, table.Tenant("") == nil)
	assert.Assert(t, table.Tenant("k3") == nil)
	assert.Assert(t, table.RequiresKey())
}

// TestPartsAreSpreadOverStores checks that a part's store doesn't depend on the order of the
// configuration, and that all stores are used.
func TestPartsAreSpreadOverStores(t *testing.T) {
	var services []Service
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		services = append(services, Service{Name: identity.ServiceName(address), PromptStore: &PromptStore{Address: address}})
	}
	one := Compile(&Configuration{Services: services})
	other := Compile(&Configuration{Services: []Service{services[2], services[0], services[1]}})
	used := map[string]int{}
	for part := range uint64(300) {
		store := one.PromptStore(part)
		assert.Equal(t, store.Address, other.PromptStore(part).Address)
		used[store.Address]++
	}
	for _, service := range services {
		assert.Assert(t, used[service.PromptStore.Address] > 50, "%v", used)
	}
	assert.Assert(t, Compile(&Configuration{}).PromptStore(1) == nil)
}
