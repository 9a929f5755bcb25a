package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/finding"
)

// machine drives a cluster through faults and checks what must always hold.
type machine struct {
	cluster *cluster
	// majority is set when the daemons can outvote a table that is down. Without
	// it, every confirmation stems from the table.
	majority bool
	newIDs   int
	// refused holds the change IDs of which every proposal so far surely failed.
	refused map[string]bool
	large   *dynamic.Document
}

func newMachine(t *rapid.T) *machine {
	daemons := rapid.IntRange(1, 6).Draw(t, "daemons")
	majority := rapid.Bool().Draw(t, "majority")
	size := daemons
	if !majority {
		size = 100
	}
	made := &machine{
		cluster:  newCluster(t, daemons, size),
		majority: majority,
		refused:  map[string]bool{},
		large:    largeDocument(),
	}
	if rapid.IntRange(0, 3).Draw(t, "configured") > 0 {
		made.configure(t)
	}
	return made
}

// configure lets all daemons begin with a first revision in force.
func (m *machine) configure(t *rapid.T) {
	first := m.cluster.daemons[0]
	document := &dynamic.Document{Tenants: []dynamic.Tenant{{Name: "club"}, {Name: "pot"}}}
	m.propose(t, first, dynamic.Change{
		ID: "import", Operator: "anna", At: epoch, Operation: dynamic.Operation{Replace: document},
	})
	assert.NilError(t, first.runner.writeMirrorIfDue(context.Background()))
	for _, configured := range m.cluster.daemons {
		configured.runner.step(context.Background())
	}
	m.check(t)
}

func (m *machine) drawLive(t *rapid.T) *daemon {
	drawn := rapid.SampledFrom(m.cluster.daemons).Draw(t, "daemon")
	if drawn.runner == nil {
		t.Skip("the daemon is down")
	}
	return drawn
}

func (m *machine) drawChange(t *rapid.T, from *daemon) dynamic.Change {
	m.newIDs++
	id := fmt.Sprintf("change-%d", m.newIDs)
	if rapid.IntRange(0, 3).Draw(t, "reuse") == 0 {
		id = fmt.Sprintf("change-%d", rapid.IntRange(1, m.newIDs).Draw(t, "id"))
	}
	change := dynamic.Change{ID: id, Operator: "anna", At: epoch}
	tenant := identity.TenantName(rapid.SampledFrom([]string{"club", "pot"}).Draw(t, "tenant"))
	switch rapid.IntRange(0, 40).Draw(t, "kind") {
	case 0:
		change.Operation.Replace = m.large
	case 1, 2:
		change.Operation.RemoveTenant = &tenant
	case 3, 4, 5, 6, 7, 8:
		change.Operation.SetLimits = &dynamic.SetLimits{Tenant: tenant}
	default:
		change.Operation.PutTenant = &dynamic.Tenant{Name: tenant}
	}
	if rapid.Bool().Draw(t, "based") {
		base := from.runner.Revision()
		change.Base = &base
	}
	return change
}

// propose proposes a change and checks the answer against the table's commits.
// It tells whether the proposal surely failed.
func (m *machine) propose(t *rapid.T, from *daemon, change dynamic.Change) bool {
	committedBefore := m.revisionOf(change.ID)
	accepted, err := from.runner.Propose(context.Background(), change)
	committed := m.revisionOf(change.ID)

	var unknown *OutcomeUnknownError
	var reused *revision.ReusedIDError
	switch {
	case err == nil:
		assert.Equal(t, accepted.Revision, committed, "accepted, but not what the table has")
		assert.DeepEqual(t, m.operationOf(t, committed), operationJSON(t, change))
		if accepted.Repeated {
			assert.Assert(t, committedBefore > 0 || len(m.cluster.daemons) > 1, "repeated, but never committed before")
		}
		assert.Assert(t, from.runner.Revision() >= accepted.Revision, "accepted, but not in force here")
	case errors.As(err, &unknown):
	case errors.As(err, &reused):
		assert.Equal(t, reused.Revision, committed)
	default:
		assertKnownError(t, err)
		assert.Equal(t, committed, committedBefore, "failed for sure, but committed: %v", err)
		return true
	}
	return false
}

// markRefused notes that an ID must stay uncommitted, unless an earlier proposal
// of it may still arrive.
func (m *machine) markRefused(id string) {
	if m.revisionOf(id) > 0 {
		return
	}
	for _, transaction := range m.cluster.late {
		for _, write := range transaction.Writes {
			if write.Key == revision.ChangeIDKey(id) {
				return
			}
		}
	}
	m.refused[id] = true
}

func assertKnownError(t *rapid.T, err error) {
	var notCommitted *NotCommittedError
	var conflict *dynamic.ConflictError
	var invalid *finding.Error
	known := errors.As(err, &notCommitted) || errors.As(err, &conflict) || errors.As(err, &invalid)
	assert.Assert(t, known, "%T: %v", err, err)
}

// operationOf is the operation in the table's change row.
func (m *machine) operationOf(t *rapid.T, committed identity.Revision) string {
	rows := m.cluster.table.Read([]string{revision.ChangeKey(committed)})
	row, err := revision.ReadChangeRow(rows[0])
	assert.NilError(t, err)
	if row.Object == "" {
		return operationJSON(t, row.Change)
	}
	change, err := dynamic.DecodeChange(m.cluster.objects[row.Object])
	assert.NilError(t, err)
	return operationJSON(t, change)
}

func operationJSON(t *rapid.T, change dynamic.Change) string {
	encoded, err := json.Marshal(change.Operation)
	assert.NilError(t, err)
	return string(encoded)
}

func (m *machine) revisionOf(id string) identity.Revision {
	for _, head := range m.cluster.committed {
		if head.ChangeID == id {
			return head.Revision
		}
	}
	return 0
}

// actions are the steps of the state machine.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        m.check,
		"propose": m.doPropose, "propose 2": m.doPropose, "propose 3": m.doPropose, "propose 4": m.doPropose,
		"step": m.doStep, "step 2": m.doStep, "step 3": m.doStep, "step 4": m.doStep,
		"task":     m.doTask,
		"time":     m.doTime,
		"links":    m.doLinks,
		"platform": m.doPlatform,
		"late":     m.doLate,
		"mirror":   m.doMirror,
		"crash":    m.doCrash,
		"restart":  m.doRestart,
		"herd":     m.doHerd,
	}
}

func (m *machine) doPropose(t *rapid.T) {
	from := m.drawLive(t)
	from.faults = drawFaults(t, faultLimited)
	from.commitFaults = drawFaults(t, faultCount-1)
	change := m.drawChange(t, from)
	rival := rapid.SampledFrom(m.cluster.daemons).Draw(t, "rival")
	failed := true
	if rival != from && rival.runner != nil {
		rivalChange := m.drawChange(t, rival)
		rivalChange.ID = change.ID + "-rival"
		if rapid.Bool().Draw(t, "same ID") {
			rivalChange.ID = change.ID
		}
		rival.faults, rival.commitFaults = nil, nil
		from.race = func() { failed = m.propose(t, rival, rivalChange) }
	}
	// An ID that is proposed anew may be committed after all.
	delete(m.refused, change.ID)
	if m.propose(t, from, change) && failed {
		m.markRefused(change.ID)
	}
	from.race = nil
	from.faults, from.commitFaults = nil, nil
}

func drawFaults(t *rapid.T, last fault) []fault {
	var faults []fault
	for range rapid.IntRange(0, 2).Draw(t, "faults") {
		faults = append(faults, fault(rapid.IntRange(0, int(last)).Draw(t, "fault")))
	}
	return faults
}

func (m *machine) doStep(t *rapid.T) {
	stepped := m.drawLive(t)
	if rapid.Bool().Draw(t, "faulty") {
		stepped.faults = drawFaults(t, faultLimited)
	}
	stepped.runner.step(context.Background())
	stepped.faults = nil
}

func (m *machine) doTask(t *rapid.T) {
	from := m.drawLive(t)
	if len(from.tasks) == 0 {
		t.Skip("no tasks")
	}
	index := rapid.IntRange(0, len(from.tasks)-1).Draw(t, "task")
	task := from.tasks[index]
	from.tasks = append(from.tasks[:index:index], from.tasks[index+1:]...)
	if rapid.IntRange(0, 4).Draw(t, "drop") > 0 {
		task()
	}
}

func (m *machine) doTime(t *rapid.T) {
	milliseconds := rapid.SampledFrom([]int{10, 300, 1000, 3000, 10_000}).Draw(t, "milliseconds")
	m.cluster.now = m.cluster.now.Add(time.Duration(milliseconds) * time.Millisecond)
}

func (m *machine) doLinks(t *rapid.T) {
	from := rapid.SampledFrom(m.cluster.daemons).Draw(t, "from")
	to := rapid.SampledFrom(m.cluster.daemons).Draw(t, "to").member.ID
	from.cut[to] = rapid.IntRange(0, 2).Draw(t, "cut") == 2
	from.lost[to] = rapid.IntRange(0, 2).Draw(t, "lost") == 2
	from.delayed[to] = time.Duration(rapid.SampledFrom([]int{0, 0, 50, 5000}).Draw(t, "delay")) * time.Millisecond
}

func (m *machine) doPlatform(t *rapid.T) {
	for _, reached := range m.cluster.daemons {
		reached.tableDown = rapid.IntRange(0, 3).Draw(t, "table down") == 3
	}
	m.cluster.objectsDown = rapid.IntRange(0, 3).Draw(t, "objects down") == 3
}

func (m *machine) doLate(t *rapid.T) {
	if len(m.cluster.late) == 0 {
		t.Skip("nothing is late")
	}
	index := rapid.IntRange(0, len(m.cluster.late)-1).Draw(t, "transaction")
	_, _ = m.cluster.commit(m.cluster.late[index])
}

func (m *machine) doMirror(t *rapid.T) {
	_ = m.drawLive(t).runner.writeMirrorIfDue(context.Background())
}

func (m *machine) doCrash(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "crash") > 0 {
		t.Skip("long absences are rare")
	}
	m.drawLive(t).crash()
}

func (m *machine) doRestart(t *rapid.T) {
	restarted := rapid.SampledFrom(m.cluster.daemons).Draw(t, "daemon")
	restarted.crash()
	restarted.start()
}

func (m *machine) doHerd(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "herd") > 0 {
		t.Skip("herd restarts are rare")
	}
	// The mirror is what a herd can fall back on when the table is down.
	down := rapid.Bool().Draw(t, "table down")
	for _, restarted := range m.cluster.daemons {
		restarted.tableDown = down
	}
	for _, restarted := range m.cluster.daemons {
		restarted.crash()
	}
	for _, restarted := range m.cluster.daemons {
		restarted.start()
	}
}

// check holds after every action.
func (m *machine) check(t *rapid.T) {
	for _, checked := range m.cluster.daemons {
		if checked.runner == nil {
			continue
		}
		checked.runner.refresh()
		m.checkDaemon(t, checked)
	}
	for id := range m.refused {
		assert.Equal(t, m.revisionOf(id), identity.Revision(0), "%s failed for sure, but was committed", id)
	}
}

func (m *machine) checkDaemon(t *rapid.T, checked *daemon) {
	status := checked.runner.Status()
	assert.Equal(t, status.Head.Revision, checked.runner.Document().Revision)
	if status.Provisional {
		checked.holders = min(checked.holders, m.holders(checked))
		return
	}
	if !m.majority {
		known := m.cluster.newestAt(status.ConfirmedAt)
		assert.Assert(t, status.Head.Revision >= known,
			"%s confirmed revision %d at a moment when %d was committed", checked.member.ID, status.Head.Revision, known)
	}
	if status.Head.Revision < checked.inForce {
		assert.Assert(t, m.mayForget(checked),
			"%s has revision %d in force after %d", checked.member.ID, status.Head.Revision, checked.inForce)
	}
	checked.inForce = status.Head.Revision
	checked.holders = m.holders(checked)
}

// holders counts the other daemons that surely know what a daemon had in force.
func (m *machine) holders(of *daemon) int {
	count := 0
	for _, other := range m.cluster.daemons {
		if other == of || other.runner == nil {
			continue
		}
		status := other.runner.Status()
		if !status.Provisional && status.Head.Revision >= of.inForce {
			count++
		}
	}
	return count
}

// mayForget is true when the assumption of the majority doesn't hold: since the
// restart there was a time when a majority could be found among the others
// without meeting a daemon that had the revision.
func (m *machine) mayForget(restarted *daemon) bool {
	others := m.cluster.size - 1
	majority := m.cluster.size/2 + 1
	return m.majority && restarted.holders+majority <= others
}

// settle ends all faults and lets the daemons come to rest.
func (m *machine) settle(t *rapid.T) {
	c := m.cluster
	for range c.late {
		_, _ = c.commit(c.late[0])
		c.late = c.late[1:]
	}
	c.objectsDown = false
	for _, healed := range c.daemons {
		healed.tableDown = false
		healed.faults, healed.commitFaults = nil, nil
		clear(healed.cut)
		clear(healed.lost)
		clear(healed.delayed)
		if healed.runner == nil {
			healed.start()
		}
	}
	for range 6 {
		c.now = c.now.Add(500 * time.Millisecond)
		for _, settled := range c.daemons {
			settled.runner.step(context.Background())
			m.check(t)
		}
	}
	for _, settled := range c.daemons {
		status := settled.runner.Status()
		assert.Assert(t, !status.Provisional && !status.Isolated, "%s: %+v", settled.member.ID, status)
		if len(c.committed) > 0 {
			assert.Equal(t, status.Head, c.committed[len(c.committed)-1])
		}
	}
}

func TestConfigurationHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		made := newMachine(t)
		t.Repeat(made.actions())
		made.settle(t)
	})
}
