package hollowwatch

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/registry"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// BenchmarkRegistry measures what the control loop does beside the exchange at
// the target size: a look without a change, a change of one back end passed to
// the scheduler, and the reading of a machine list.
func BenchmarkRegistry(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	known, list := registry.New(registry.DefaultOptions()), platformwire.MachineList{Version: 1}
	var fleet []*backend
	for number := range 2800 {
		added := &backend{id: identity.BackendID(fmt.Sprintf("runner-%04d", number)), ready: true, incarnation: 1}
		fleet = append(fleet, added)
		list.Machines = append(list.Machines, platformwire.Machine{
			ID: added.id, Kind: identity.KindEngine, Service: "coach-llm", State: platformwire.MachineLive,
			Zone: identity.Zone(fmt.Sprintf("zone-%d", number%6)), Address: fmt.Sprintf("10.2.%d.%d:9000", number/250, number%250),
		})
	}
	known.ObserveMachines(now, list)
	tell := func(about *backend) {
		seen := sighting.Seen(about.status())
		known.ObserveVerdict(now, about.id, sighting.Verdict{Reach: sighting.ReachReachable, Newest: seen})
	}
	for _, added := range fleet {
		tell(added)
	}
	policy := scheduler.New(scheduler.Options{})
	known.Refresh(now)
	policy.SetBackends(now, known.Backends(now))

	b.Run("look", func(b *testing.B) {
		for range b.N {
			assert.Assert(b, !known.Refresh(now))
		}
	})
	b.Run("change", func(b *testing.B) {
		for round := range b.N {
			changed := fleet[round%len(fleet)]
			changed.incarnation++
			tell(changed)
			assert.Assert(b, known.Refresh(now))
			policy.SetBackends(now, known.Backends(now))
		}
	})
	b.Run("machine list", func(b *testing.B) {
		encoded, err := json.Marshal(list)
		assert.NilError(b, err)
		for range b.N {
			var decoded platformwire.MachineList
			assert.NilError(b, json.Unmarshal(encoded, &decoded))
			known.ObserveMachines(now, decoded)
		}
		b.ReportMetric(float64(len(encoded)), "bytes/read")
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		_, err = writer.Write(encoded)
		assert.NilError(b, err)
		assert.NilError(b, writer.Close())
		b.ReportMetric(float64(compressed.Len()), "gzip-bytes/read")
	})
}
