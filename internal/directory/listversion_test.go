package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// readerOfList returns a reader with a list of one back end, whose bulletins are appended to told.
func readerOfList(t *testing.T, told *[]Bulletin) *Directory {
	t.Helper()
	reader := New(Options{
		Pool: backendpool.New("a"), Log: logging.Discard(), Self: "a", Broadcast: func(bulletin Bulletin) { *told = append(*told, bulletin) },
	})
	reader.role.open()
	began := time.Now()
	assert.Assert(t, reader.role.decide(began, tableBackends).begins)
	listed := Listed{Reading: Reading{Version: 5}, Backends: []backendpool.Backend{{ID: identity.NewBackendID("e1", 7)}}}
	reader.apply(message{table: tableBackends, began: began, ended: began, listed: &listed})
	return reader
}

// TestLostChangesAreFoundByTheToldVersion guards against a daemon that never notices changes of which it lost all
// bulletins: the version of the list, sent later and again while nothing changes, shows that data is missing.
func TestLostChangesAreFoundByTheToldVersion(t *testing.T) {
	var told []Bulletin
	reader := readerOfList(t, &told)
	now := time.Now()
	for range 3 {
		told = nil
		for until := now.Add(versionInterval + repeatInterval); now.Before(until); now = now.Add(repeatInterval) {
			reader.rebroadcast(now)
		}
		versions := 0
		for _, bulletin := range told {
			if len(bulletin.Backends.Changed) > 0 {
				continue
			}
			versions++
			assert.Equal(t, bulletin.Backends.To, uint64(5))
			follower := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "b", Broadcast: func(Bulletin) {}})
			follower.listed.Store(true)
			advance(follower.positions[tableBackends], 4)
			follower.mergeBackendNews("a", bulletin.Backends)
			assert.Equal(t, follower.missing.Load().need.NeedBackendsTo, uint64(5))
		}
		assert.Assert(t, versions > 0 && versions <= 3, "the version was told %d times", versions)
	}
}
