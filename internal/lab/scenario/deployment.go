// Package scenario describes what the experiments run: deployments of today's
// sizes, their workloads, and what goes wrong in them. A scenario and a seed give
// the same requests for every policy.
package scenario

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
)

// Deployment is the fixed part of a scenario.
type Deployment struct {
	Name  string
	Zones []identity.Zone
	// BetweenZones, WithinZone and ToClient are one-way network delays.
	BetweenZones time.Duration
	WithinZone   time.Duration
	ToClient     time.Duration
	Daemons      int

	ModelService identity.ServiceName
	Model        identity.ModelName
	Version      identity.WeightsVersion
	Engines      int
	Engine       model.Options
	// WeightsTime is how long an engine loads weights, and ConcurrentLoads how
	// many engines may do so at full speed.
	WeightsTime     time.Duration
	ConcurrentLoads int

	AppService     identity.ServiceName
	AppRunners     int
	AppConcurrency int
	AppServiceTime time.Duration

	Tenants []Tenant
	Prompts PromptShape
}

// Tenant is a tenant with its share of the requests.
type Tenant struct {
	Name  identity.TenantName
	Share float64
}

// PromptShape gives the nested prefixes of a tenant's long prompts, in blocks: a
// root, chapters under it, sections under each, and a question of its own.
type PromptShape struct {
	RootBlocks     int
	Chapters       int
	ChapterBlocks  int
	Sections       int
	SectionBlocks  int
	QuestionBlocks int
	// LeastOutput and MostOutput bound the tokens of a long request's answer.
	LeastOutput int
	MostOutput  int
}

// engineBlocks is the KV memory of an engine: at these workloads a block without
// users is evicted within seconds.
const engineBlocks = 3072

// Foulee is the deployment of the race timing service.
func Foulee() Deployment {
	return Deployment{
		Name:            "foulee",
		Zones:           []identity.Zone{"rosehill", "ebene", "curepipe"},
		BetweenZones:    1500 * time.Microsecond,
		WithinZone:      200 * time.Microsecond,
		ToClient:        4 * time.Millisecond,
		Daemons:         6,
		ModelService:    "coach-llm",
		Model:           "coach",
		Version:         "1",
		Engines:         20,
		Engine:          model.Options{Blocks: engineBlocks}.WithDefaults(),
		WeightsTime:     500 * time.Millisecond,
		ConcurrentLoads: 3,
		AppService:      "results-app",
		AppRunners:      3,
		AppConcurrency:  4,
		AppServiceTime:  8 * time.Millisecond,
		Tenants:         tenants("club"),
		Prompts: PromptShape{
			RootBlocks: 96, Chapters: 8, ChapterBlocks: 160, Sections: 6, SectionBlocks: 32,
			QuestionBlocks: 8, LeastOutput: 40, MostOutput: 120,
		},
	}
}

// KalahariPot is the deployment of the recipe site.
func KalahariPot() Deployment {
	return Deployment{
		Name:            "kalahari-pot",
		Zones:           []identity.Zone{"khomas-a", "khomas-b", "khomas-c"},
		BetweenZones:    time.Millisecond,
		WithinZone:      200 * time.Microsecond,
		ToClient:        time.Millisecond,
		Daemons:         6,
		ModelService:    "pot-llm",
		Model:           "pot",
		Version:         "1",
		Engines:         10,
		Engine:          model.Options{Blocks: engineBlocks}.WithDefaults(),
		WeightsTime:     330 * time.Millisecond,
		ConcurrentLoads: 2,
		AppService:      "kitchen-web",
		AppRunners:      3,
		AppConcurrency:  4,
		AppServiceTime:  8 * time.Millisecond,
		Tenants:         tenants("shop"),
		Prompts: PromptShape{
			RootBlocks: 48, Chapters: 6, ChapterBlocks: 288, Sections: 4, SectionBlocks: 32,
			QuestionBlocks: 6, LeastOutput: 12, MostOutput: 32,
		},
	}
}

// tenantShares are the shares of eight tenants, a few of them large.
var tenantShares = []float64{8, 6, 4, 2, 1, 1, 1, 1}

func tenants(prefix string) []Tenant {
	made := make([]Tenant, len(tenantShares))
	for index, share := range tenantShares {
		name := identity.TenantName(prefix + "-" + string(rune('a'+index)))
		made[index] = Tenant{Name: name, Share: share}
	}
	return made
}
