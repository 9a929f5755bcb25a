package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// largeDocument is too large for one row of the table.
func largeDocument() *dynamic.Document {
	document := &dynamic.Document{}
	for number := range 1200 {
		document.Tenants = append(document.Tenants, dynamic.Tenant{
			Name:      identity.TenantName(fmt.Sprintf("tenant-%04d", number)),
			KeyHashes: []string{fmt.Sprintf("%064x", number)},
		})
	}
	return document
}

func TestImportCommitsAndReachesAStartingDaemon(t *testing.T) {
	ctx := context.Background()
	example, err := dynamic.ParseDocument("example.yaml", dynamic.Example)
	assert.NilError(t, err)
	for name, document := range map[string]*dynamic.Document{"row": example, "object": largeDocument()} {
		t.Run(name, func(t *testing.T) {
			made := newCluster(t, 2, 2)
			accepted, err := made.daemons[0].runner.Propose(ctx, dynamic.Change{
				ID: "import", Operator: "anna", At: epoch, Operation: dynamic.Operation{Replace: document},
			})
			assert.NilError(t, err)
			assert.Equal(t, accepted, Accepted{Revision: 1})

			made.daemons[1].runner.step(ctx)
			assert.Equal(t, len(made.daemons[1].runner.Document().Tenants), len(document.Tenants))
			status := made.daemons[1].runner.Status()
			assert.Assert(t, !status.Provisional && !status.Isolated)
			assert.Equal(t, status.Head, made.committed[0])
			assert.Equal(t, made.daemons[1].runner.InForce(ctx, 1).Daemons, 2)
		})
	}
}

func TestRunLoadsTheTableAndStops(t *testing.T) {
	made := newCluster(t, 1, 1)
	first := made.daemons[0]
	_, err := first.runner.Propose(context.Background(), dynamic.Change{
		ID: "first", Operator: "anna", At: epoch,
		Operation: dynamic.Operation{PutTenant: &dynamic.Tenant{Name: "club"}},
	})
	assert.NilError(t, err)
	seen := make(chan *dynamic.Document, 1)
	runner := New(Options{
		Self: first.member, Table: (*daemonTable)(first), Objects: (*clusterObjects)(made), Peers: first,
		OnDocument: func(document *dynamic.Document) { seen <- document },
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	ended := make(chan error)
	go func() { ended <- runner.Run(ctx) }()
	document := <-seen
	assert.Equal(t, document.Revision, identity.Revision(1))
	cancel()
	assert.NilError(t, <-ended)
}

// A daemon that restarts while the table is down must not take the word of a
// peer that was confirmed before the restart: the peer may lack what the daemon
// had in force.
func TestRestartedDaemonWantsAConfirmationSinceItsRestart(t *testing.T) {
	ctx := context.Background()
	made := newCluster(t, 2, 100)
	restarted, peer := made.daemons[0], made.daemons[1]
	put := func(id string) {
		_, err := restarted.runner.Propose(ctx, dynamic.Change{
			ID: id, Operator: "anna", At: epoch, Operation: dynamic.Operation{PutTenant: &dynamic.Tenant{Name: "club"}},
		})
		assert.NilError(t, err)
	}
	put("first")
	peer.runner.step(ctx)
	put("second")
	made.now = made.now.Add(time.Second)
	restarted.crash()
	restarted.start()
	restarted.tableDown = true
	restarted.runner.step(ctx)
	status := restarted.runner.Status()
	assert.Assert(t, status.Provisional && status.Head.Revision == 1, "%+v", status)

	made.now = made.now.Add(time.Second)
	peer.runner.step(ctx)
	restarted.runner.step(ctx)
	status = restarted.runner.Status()
	assert.Assert(t, !status.Provisional && status.Head.Revision == 2, "%+v", status)
}

// An answer that was long on its way says nothing of the time since.
func TestLateAnswerConfirmsOnlyTheMomentOfTheQuestion(t *testing.T) {
	ctx := context.Background()
	made := newCluster(t, 2, 100)
	asking, peer := made.daemons[0], made.daemons[1]
	made.now = made.now.Add(time.Second)
	peer.runner.step(ctx)
	asking.tableDown = true
	asking.delayed[peer.member.ID] = 10 * time.Second
	asking.runner.step(ctx)
	status := asking.runner.Status()
	assert.Assert(t, !status.Provisional && status.Isolated, "%+v", status)
	assert.Assert(t, status.ConfirmedAt.Before(epoch.Add(2*time.Second)))
}
