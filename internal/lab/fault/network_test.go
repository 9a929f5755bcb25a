package fault

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A missing revision is excused only while, or shortly after, the daemons were cut
// from each other and the table service was down at the same time.
func TestOnlyBothCutsTogetherExcuseAMissingRevision(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	between := func(from, to int) span {
		return span{from: start.Add(time.Duration(from) * time.Second), to: start.Add(time.Duration(to) * time.Second)}
	}
	for _, one := range []struct {
		name             string
		apart, tableDown []span
		excused          bool
	}{
		{"neither", nil, nil, false},
		{"daemons apart alone", []span{between(0, 20)}, nil, false},
		{"table down alone", nil, []span{between(0, 20)}, false},
		{"one after the other", []span{between(0, 9)}, []span{between(10, 20)}, false},
		{"both together", []span{between(5, 9)}, []span{between(8, 12)}, true},
		{"both together just before", []span{between(0, 3)}, []span{between(1, 2)}, true},
		{"both together long before", []span{between(-9, -5)}, []span{between(-9, -5)}, false},
	} {
		judge := newOracle()
		judge.apart, judge.tableDown = one.apart, one.tableDown
		known := between(5, 15)
		assert.Equal(t, judge.cutFromRevisions(known.from, known.to), one.excused, one.name)
	}
}
