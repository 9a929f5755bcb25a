package projection

// Group tells when a cost arises.
type Group string

// The groups of costs.
const (
	// Background costs arise on every daemon, whatever the traffic.
	Background Group = "background"
	// PerRequest costs grow with the requests that a daemon serves.
	PerRequest Group = "per request"
	// Holder costs arise on one daemon at a time.
	Holder Group = "holder"
	// Planned costs are those of a mechanism that no daemon runs yet.
	Planned Group = "planned"
)

// Cost is what one daemon spends.
type Cost struct {
	Core           float64 `json:"core"`
	MemoryBytes    float64 `json:"memory_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// Plus adds two costs.
func (c Cost) Plus(other Cost) Cost {
	return Cost{
		Core:           c.Core + other.Core,
		MemoryBytes:    c.MemoryBytes + other.MemoryBytes,
		BytesPerSecond: c.BytesPerSecond + other.BytesPerSecond,
	}
}

// Line is one cost of a role.
type Line struct {
	Role      string `json:"role"`
	What      string `json:"what"`
	Mechanism string `json:"mechanism"`
	Group     Group  `json:"group"`
	// Rate is how often a second, where the cost is that of single occasions.
	Rate float64 `json:"rate,omitempty"`
	Cost Cost    `json:"cost"`
	// Resident is set when the memory is that of a process, not live heap.
	Resident bool `json:"resident,omitempty"`
	// Change is what must be changed when the line alone breaks or nearly breaks a
	// budget; empty otherwise.
	Change string `json:"change,omitempty"`
}

// Verdict compares a sum with the budget.
type Verdict struct {
	Name string `json:"name"`
	Cost Cost   `json:"cost"`
	// CoreHolds, MemoryHolds and BytesHold tell whether the budget is kept.
	CoreHolds   bool `json:"core_holds"`
	MemoryHolds bool `json:"memory_holds"`
	BytesHold   bool `json:"bytes_hold"`
}

// Report is a projection.
type Report struct {
	Sizes    Sizes     `json:"sizes"`
	Budget   Budget    `json:"budget"`
	Lines    []Line    `json:"lines"`
	Verdicts []Verdict `json:"verdicts"`
}

// heapFactor is how much memory the Go runtime takes for each byte of live heap
// at its default setting, GOGC=100.
const heapFactor = 2

func judge(name string, budget Budget, lines []Line, wanted func(Line) bool) Verdict {
	var sum Cost
	for _, line := range lines {
		if !wanted(line) {
			continue
		}
		cost := line.Cost
		if !line.Resident {
			cost.MemoryBytes *= heapFactor
		}
		sum = sum.Plus(cost)
	}
	return Verdict{
		Name: name, Cost: sum,
		CoreHolds:   sum.Core <= budget.Core,
		MemoryHolds: sum.MemoryBytes <= budget.MemoryBytes,
		BytesHold:   sum.BytesPerSecond <= budget.BytesPerSecond,
	}
}
