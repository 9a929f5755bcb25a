package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// restartingBackend is a back end that restarts under its name. Its row tells so later.
type restartingBackend struct {
	name        identity.BackendName
	incarnation identity.Incarnation
	version     identity.SoftwareVersion
	// row is what the list tells; listed is false while it has none.
	row    backendpool.Backend
	listed bool
}

func (b *restartingBackend) writeRow() {
	b.row = backendpool.Backend{ID: identity.NewBackendID(b.name, b.incarnation), Service: "s", Software: b.version}
	b.listed = true
}

// begunStream is a stream with the version that really began it.
type begunStream struct {
	origin Origin
	truly  identity.SoftwareVersion
}

// TestStreamsAreSureOnlyOfTheVersionThatBeganThem draws back ends that restart under their names as other versions, rows that lag
// behind or go, streams that begin meanwhile, and daemons that start at any time. What is sure must be true; what may be asked of a
// listed back end must be true if that is the listed incarnation.
func TestStreamsAreSureOnlyOfTheVersionThatBeganThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		backends := make([]*restartingBackend, 3)
		for index := range backends {
			backends[index] = &restartingBackend{name: identity.BackendName(fmt.Sprint("b", index)), incarnation: 1, version: "v1"}
			backends[index].writeRow()
		}
		var streams []begunStream
		daemon := NewListed()
		for range rapid.IntRange(5, 60).Draw(t, "actions") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			backend := rapid.SampledFrom(backends).Draw(t, "back end")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				backend.incarnation++
				backend.version = rapid.SampledFrom([]identity.SoftwareVersion{"v1", "v1.1", "v2"}).Draw(t, "version")
			case 1:
				backend.writeRow()
			case 2:
				backend.listed = false
			case 3:
				daemon = NewListed()
			default:
				if backend.listed {
					asked := rapid.Bool().Draw(t, "asked")
					confirmed := asked && backend.row.ID.Incarnation() == backend.incarnation
					streams = append(streams, begunStream{origin: *NewOrigin(backend.row, confirmed, now), truly: backend.version})
				}
			}
			update(daemon, now, backends)
			checkCertainty(t, daemon, streams, backends)
		}
	})
}

// update makes a daemon list what the rows tell.
func update(daemon *Listed, now time.Time, backends []*restartingBackend) {
	var changed []backendpool.Backend
	var gone []identity.BackendID
	rows := map[identity.BackendID]bool{}
	for _, each := range backends {
		if each.listed {
			changed = append(changed, each.row)
			rows[each.row.ID] = true
		}
	}
	for id := range daemon.backends {
		if !rows[id] {
			gone = append(gone, id)
		}
	}
	daemon.Update(now, changed, gone)
}

func checkCertainty(t *rapid.T, daemon *Listed, streams []begunStream, backends []*restartingBackend) {
	for _, stream := range streams {
		certainty, listed := daemon.Certainty(stream.origin)
		if certainty == CertaintyListed {
			for _, each := range backends {
				if each.name == listed.ID.Name() && each.incarnation == listed.ID.Incarnation() {
					certainty = CertaintySure
				}
			}
		}
		if certainty == CertaintySure && stream.truly != stream.origin.Version {
			t.Fatalf("a stream of %s is taken for one of %s: %+v", stream.truly, stream.origin.Version, stream.origin)
		}
	}
}

// TestConfirmedStreamsStaySure guards against refusing streams whose back end has told its incarnation, once it is gone or restarted.
func TestConfirmedStreamsStaySure(t *testing.T) {
	backend := &restartingBackend{name: "b", incarnation: 1, version: "v1"}
	backend.writeRow()
	origin := *NewOrigin(backend.row, true, time.Now())
	for _, change := range []func(){func() {}, func() { backend.listed = false }, func() {
		backend.incarnation, backend.version = 2, "v2"
		backend.writeRow()
	}} {
		change()
		daemon := NewListed()
		update(daemon, time.Now(), []*restartingBackend{backend})
		certainty, _ := daemon.Certainty(origin)
		assert.Equal(t, certainty, CertaintySure)
	}
}
