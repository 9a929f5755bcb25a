package registry

import (
	"time"

	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// Knowledge is what one daemon knows of the back ends, for another that starts.
type Knowledge struct {
	Listed   bool                     `msgpack:"listed"`
	Machines platformwire.MachineList `msgpack:"machines"`
	Statuses []enginewire.Status      `msgpack:"statuses"`
}

// Knowledge returns the machine list and the reports of back ends that were
// heard of lately.
func (r *Registry) Knowledge(now time.Time) Knowledge {
	knowledge := Knowledge{Listed: !r.listedAt.IsZero(), Machines: r.list}
	for _, known := range r.entries {
		if r.reachable(now, known) {
			knowledge.Statuses = append(knowledge.Statuses, *known.status)
		}
	}
	return knowledge
}
