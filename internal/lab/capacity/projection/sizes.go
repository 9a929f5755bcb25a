// Package projection works out what one daemon spends at a given size of the
// system from slopes that were measured on a small one. It is pure arithmetic.
package projection

// secondsPerDay converts rates that are given for a day.
const secondsPerDay = 86_400

// Sizes is the size of a system.
type Sizes struct {
	Daemons              int     `json:"daemons"`
	Runners              int     `json:"runners"`
	Zones                int     `json:"zones"`
	RequestsPerSecond    float64 `json:"requests_per_second"`
	TokensPerSecond      float64 `json:"tokens_per_second"`
	CachedBlocks         float64 `json:"cached_blocks"`
	CacheEventsPerSecond float64 `json:"cache_events_per_second"`
	Tenants              int     `json:"tenants"`
	Models               int     `json:"models"`
	ChangesPerDay        float64 `json:"changes_per_day"`
	FailuresPerDay       float64 `json:"failures_per_day"`
	RestartsPerDay       float64 `json:"restarts_per_day"`
	// KeyedShare is the share of requests that run at most once. It is an
	// assumption: the target size does not say it.
	KeyedShare float64 `json:"keyed_share"`
}

// Target is the size that the project builds for.
func Target() Sizes {
	return Sizes{
		Daemons: 340, Runners: 2800, Zones: 6,
		RequestsPerSecond: 35_000, TokensPerSecond: 10e6,
		CachedBlocks: 160e6, CacheEventsPerSecond: 2.3e6,
		Tenants: 15_000, Models: 8,
		ChangesPerDay: 6600, FailuresPerDay: 17, RestartsPerDay: 1200,
		KeyedShare: 0.05,
	}
}

func (s Sizes) perDaemon(total float64) float64 { return total / float64(s.Daemons) }

func (s Sizes) changesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// machineChangesPerSecond is how often a machine fails or restarts.
func (s Sizes) machineChangesPerSecond() float64 {
	return (s.FailuresPerDay + s.RestartsPerDay) / secondsPerDay
}

// Budget is what one daemon may spend on control.
type Budget struct {
	// Core is a share of one core.
	Core           float64 `json:"core"`
	MemoryBytes    float64 `json:"memory_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// TargetBudget is the budget at the target size.
func TargetBudget() Budget {
	return Budget{Core: 0.015, MemoryBytes: 128e6, BytesPerSecond: 12e3}
}
