package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// BenchmarkPlan plans for a fleet at rest, with 8 models and an event for one
// engine in ten.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{280, 2800} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var models []identity.ModelName
			for index := range 8 {
				models = append(models, identity.ModelName(fmt.Sprintf("model-%d", index)))
			}
			f := newFleet(engines, 0, models...)
			f.document.Events = []dynamic.Event{{
				Name: "race", Start: f.now, End: f.now.Add(1000 * time.Hour),
				Models: []dynamic.EventModel{{Service: testService, Model: "model-0", Version: "race", Engines: engines / 10}},
			}}
			f.run(5 * time.Minute)
			snapshot := Snapshot{Document: &f.document}
			for _, one := range f.engines {
				snapshot.Backends = append(snapshot.Backends, f.report(one))
			}
			b.ResetTimer()
			for range b.N {
				if orders := f.holder.Plan(f.now, snapshot); len(orders) > 0 {
					b.Fatalf("a fleet at rest got %d orders", len(orders))
				}
			}
		})
	}
}
