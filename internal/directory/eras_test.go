package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
)

// reads applies a read of what operators declared to a daemon that isn't running.
func reads(directory *Directory, position, version uint64) {
	declared := declaration(position, version)
	declared.Clock = time.Duration(port.VersionOf(position)) * time.Second
	now := time.Now()
	directory.apply(message{table: tableDeclared, began: now, ended: now, declared: &declared})
}

func newEraDirectory() *Directory {
	return New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "a"})
}

// TestOlderConfigurationOfACopyIsNotPutInForce guards against an older configuration from a store restored from a
// backup, or from a daemon that only knows that one: the newer one stays until the operator has written it again.
func TestOlderConfigurationOfACopyIsNotPutInForce(t *testing.T) {
	directory := newEraDirectory()
	reads(directory, 900, 50)
	older := port.PositionOf(1, 400)
	reads(directory, older, 47)
	assert.Equal(t, directory.State().Table.Version(), uint64(50))
	directory.listed.Store(true)
	directory.adopt(&adoption{from: "starter", asked: time.Now(), answered: time.Now(), snapshot: Snapshot{
		Complete: true, StoreVersion: older, RowVersion: older, Configuration: &routing.Configuration{Version: 47},
	}})
	assert.Equal(t, directory.State().Table.Version(), uint64(50))

	written := port.PositionOf(1, 410)
	reads(directory, written, 50)
	assert.Equal(t, directory.State().RowVersion, written)
	reads(directory, port.PositionOf(1, 420), 52)
	assert.Equal(t, directory.State().Table.Version(), uint64(52))
	reads(directory, 910, 51) // an answer from before the restore
	assert.Equal(t, directory.State().Table.Version(), uint64(52))
}

// TestListOfAReturnedStoreIsTakenOver guards against a stale list after the store was restored from a backup: of
// changes of either era, only the later era's apply. Draining back ends go on draining.
func TestListOfAReturnedStoreIsTakenOver(t *testing.T) {
	directory := newEraDirectory()
	list := func(position uint64, backends ...backendpool.Backend) {
		now := time.Now()
		directory.apply(message{table: tableBackends, began: now, ended: now, listed: &Listed{Reading: Reading{Version: position}, Backends: backends}})
	}
	backend := func(id string, draining bool) backendpool.Backend {
		return backendpool.Backend{ID: identity.BackendID(id), Service: "s", Address: id + ":80", Zone: "a", Draining: draining}
	}
	list(900, backend("stays", false), backend("drains", true), backend("lost", false))
	returned := port.PositionOf(1, 800)
	list(returned, backend("stays", false), backend("drains", false), backend("gone before", false))
	assert.Equal(t, directory.positions[tableBackends].Load(), returned)
	draining := map[string]bool{}
	for _, known := range directory.options.Pool.Backends() {
		draining[string(known.ID)] = known.Draining
	}
	assert.DeepEqual(t, draining, map[string]bool{"stays": false, "drains": true, "gone before": false})

	directory.mergeBackendNews("earlier", &BackendNews{To: 950, Changed: []backendpool.Backend{backend("lost", false)}})
	list(960, backend("stays", false), backend("lost", false))
	assert.Equal(t, len(directory.options.Pool.Backends()), 3)
	assert.Equal(t, directory.positions[tableBackends].Load(), returned)
}

// TestClockOfAReturnedStoreIsTakenFromAnAnswer guards against confirmations by the wrong clock after the store was
// restored with a clock one hour behind: a daemon that hears of it by a bulletin asks, and ignores confirmations by
// the former clock.
func TestClockOfAReturnedStoreIsTakenFromAnAnswer(t *testing.T) {
	directory := newEraDirectory()
	reads(directory, 900, 50)
	directory.listed.Store(true)
	returned := port.PositionOf(1, 60)
	news := &DeclaredNews{Clock: time.Minute, StoreVersion: returned, RowVersion: 900}
	now := time.Now()
	directory.mergeDeclaredNews(now, "reader", news)
	lacking := directory.missing.Load()
	assert.Assert(t, lacking != nil && lacking.from == "reader" && lacking.table == tableDeclared)

	directory.adopt(&adoption{from: "reader", asked: now, answered: now, snapshot: Snapshot{
		Complete: true, ClockLeast: time.Minute, ClockMost: time.Minute, Confirmed: time.Minute, StoreVersion: returned, RowVersion: 900,
	}})
	later := now.Add(5 * time.Second)
	news.Clock += 5 * time.Second
	directory.mergeDeclaredNews(later, "reader", news)
	age := later.Sub(directory.ConfirmedAt())
	assert.Assert(t, age >= 0 && age < 200*time.Millisecond, "%s", age)
}
