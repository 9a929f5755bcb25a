package adminhttp

import (
	"context"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

// reportInForce asks all daemons whether they have a revision or a newer one. A
// daemon that doesn't answer counts as behind.
func (h *Handler) reportInForce(ctx context.Context, wanted identity.Revision) adminwire.InForce {
	ctx, cancel := context.WithTimeout(ctx, h.options.AskTimeout)
	defer cancel()
	answers := h.options.Peers.Tables(ctx, query.SourceInForce)
	own := query.InForce{Daemon: h.options.Self, Revision: h.options.Configuration.Document().Revision}
	report := adminwire.InForce{
		Revision: wanted,
		Total:    1 + len(answers.Tables) + len(answers.Missing),
		Behind:   slices.Clone(answers.Missing),
	}
	for _, table := range append(answers.Tables, query.TableOf([]query.InForce{own})) {
		confirmed, behind := query.CountInForce(table, wanted)
		report.Confirmed += confirmed
		report.Behind = append(report.Behind, behind...)
	}
	slices.Sort(report.Behind)
	return report
}
