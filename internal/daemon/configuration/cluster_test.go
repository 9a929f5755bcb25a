package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/standin/platform"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

var (
	errFault = errors.New("fault on purpose")
	epoch    = time.Date(2026, 12, 5, 5, 0, 0, 0, time.UTC)
)

// fault is what happens to one call of the table service.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultLimited
	// faultLostRequest and faultLostAnswer look the same to the caller.
	faultLostRequest
	faultLostAnswer
	// faultLate lets the commit arrive at some later time; faultLateAndDown and
	// faultLostAndDown leave no way to ask after the commit for a while.
	faultLate
	faultLateAndDown
	faultLostAndDown
	// faultRace lets another daemon commit just before.
	faultRace
	faultCount
)

// cluster is a deployment with a model of the platform. It records the sequence
// of the table's commits, which is the oracle.
type cluster struct {
	t           assert.TestingT
	now         time.Time
	table       *platform.Table
	objects     map[string][]byte
	objectsDown bool
	daemons     []*daemon
	size        int
	random      func() float64
	committed   []revision.Head
	committedAt []time.Time
	late        []platformwire.Transaction
	// tableReads and served count the reads of the table, and the calls that each
	// daemon answered.
	tableReads  int
	objectReads int
	served      map[identity.DaemonID]int
}

// daemon is one daemon with its faults.
type daemon struct {
	cluster *cluster
	member  Member
	// runner is nil while the daemon is down.
	runner    *Runner
	tasks     []func()
	tableDown bool
	// faults are those of the next reads, commitFaults those of the next commits.
	faults       []fault
	commitFaults []fault
	race         func()
	// cut, lost and delayed hold the peers whose calls fail, whose answers are
	// lost, and whose answers are late.
	cut     map[identity.DaemonID]bool
	lost    map[identity.DaemonID]bool
	delayed map[identity.DaemonID]time.Duration
	// published is the newest document of this life.
	published identity.Revision
	// inForce is the newest confirmed revision over all lives.
	inForce identity.Revision
	// holders is the least number of other daemons that held inForce, at any
	// time since the restart.
	holders int
}

func newCluster(t assert.TestingT, daemons, size int) *cluster {
	made := &cluster{t: t, now: epoch, table: platform.NewTable(), objects: map[string][]byte{}, served: map[identity.DaemonID]int{}, size: size}
	made.random = func() float64 { return 0.5 }
	for number := range daemons {
		id := identity.DaemonID(fmt.Sprintf("daemon-%d", number))
		made.daemons = append(made.daemons, &daemon{
			cluster: made,
			member:  Member{ID: id, Address: string(id)},
			cut:     map[identity.DaemonID]bool{},
			lost:    map[identity.DaemonID]bool{},
			delayed: map[identity.DaemonID]time.Duration{},
		})
	}
	for _, started := range made.daemons {
		started.start()
	}
	return made
}

func (d *daemon) start() {
	d.published = 0
	d.tasks = nil
	d.holders = len(d.cluster.daemons)
	d.runner = New(Options{
		Self: d.member, Table: (*daemonTable)(d), Objects: (*clusterObjects)(d.cluster), Peers: d,
		Clock:       d.cluster.clock,
		OnDocument:  d.onDocument,
		HedgeDelay:  time.Hour,
		CallsAtOnce: 1,
		NewBackOff:  func() backoff.BackOff { return &fewTries{} },
		Go:          func(task func()) { d.tasks = append(d.tasks, task) },
		Random:      d.cluster.random,
	})
}

// clock never shows the same time twice.
func (c *cluster) clock() time.Time {
	c.now = c.now.Add(time.Microsecond)
	return c.now
}

func (d *daemon) crash() {
	if d.runner != nil {
		d.runner.stop()
	}
	d.runner = nil
}

// onDocument checks each published document against the oracle.
func (d *daemon) onDocument(document *dynamic.Document) {
	t := d.cluster.t
	assert.Assert(t, document.Revision > d.published, "%s published %d after %d", d.member.ID, document.Revision, d.published)
	d.published = document.Revision
	assert.Assert(t, int(document.Revision) <= len(d.cluster.committed), "revision %d was never committed", document.Revision)
	digest, err := dynamic.DigestOf(document)
	assert.NilError(t, err)
	assert.Equal(t, digest, d.cluster.committed[document.Revision-1].Digest)
}

// fewTries gives a proposal four tries without waiting.
type fewTries struct{ made int }

func (f *fewTries) Reset() { f.made = 0 }

func (f *fewTries) NextBackOff() time.Duration {
	f.made++
	if f.made > 3 {
		return backoff.Stop
	}
	return 0
}

// commit applies a transaction and records it.
func (c *cluster) commit(transaction platformwire.Transaction) ([]platformwire.Row, error) {
	rows, held := c.table.Commit(transaction)
	if !held {
		return nil, &port.ConflictError{Current: rows}
	}
	for _, write := range transaction.Writes {
		if write.Key != revision.KeyHead {
			continue
		}
		var head revision.Head
		assert.NilError(c.t, json.Unmarshal(write.Value, &head))
		assert.Equal(c.t, int(head.Revision), len(c.committed)+1, "the revisions have a gap")
		for _, before := range c.committed {
			assert.Assert(c.t, before.ChangeID != head.ChangeID, "change %s was applied twice", head.ChangeID)
		}
		c.committed = append(c.committed, head)
		c.committedAt = append(c.committedAt, c.now)
	}
	return rows, nil
}

// newestAt is the newest revision that was committed before a moment.
func (c *cluster) newestAt(at time.Time) identity.Revision {
	newest := 0
	for index, committedAt := range c.committedAt {
		if committedAt.Before(at) {
			newest = index + 1
		}
	}
	return identity.Revision(newest)
}

// daemonTable is the table service as one daemon reaches it.
type daemonTable daemon

func (d *daemonTable) nextFault(faults *[]fault) fault {
	if d.tableDown {
		return faultUnavailable
	}
	if len(*faults) == 0 {
		return faultNone
	}
	next := (*faults)[0]
	*faults = (*faults)[1:]
	return next
}

// failure is the error of a fault that isn't about commits alone.
func (f fault) failure() error {
	switch f {
	case faultUnavailable, faultLostRequest:
		return &port.UnavailableError{Service: "table", Cause: errFault}
	case faultLimited:
		return &port.RateLimitedError{Service: "table"}
	default:
		return nil
	}
}

func (d *daemonTable) Read(_ context.Context, keys ...string) ([]platformwire.Row, error) {
	d.cluster.tableReads++
	if err := d.nextFault(&d.faults).failure(); err != nil {
		return nil, err
	}
	return d.cluster.table.Read(keys), nil
}

func (d *daemonTable) Scan(_ context.Context, prefix, after string, limit int) ([]platformwire.Row, error) {
	d.cluster.tableReads++
	if err := d.nextFault(&d.faults).failure(); err != nil {
		return nil, err
	}
	return d.cluster.table.Scan(prefix, after, limit), nil
}

func (d *daemonTable) Commit(_ context.Context, transaction platformwire.Transaction) ([]platformwire.Row, error) {
	unknown := &port.OutcomeUnknownError{Service: "table", Cause: errFault}
	next := d.nextFault(&d.commitFaults)
	if next == faultLateAndDown || next == faultLostAndDown {
		d.faults = slices.Repeat([]fault{faultUnavailable}, 10)
	}
	switch next {
	case faultLostRequest:
		return nil, unknown
	case faultLostAnswer, faultLostAndDown:
		_, _ = d.cluster.commit(transaction)
		return nil, unknown
	case faultLate, faultLateAndDown:
		d.cluster.late = append(d.cluster.late, transaction)
		return nil, unknown
	case faultRace:
		if race := d.race; race != nil {
			d.race = nil
			race()
		}
	default:
		if err := next.failure(); err != nil {
			return nil, err
		}
	}
	return d.cluster.commit(transaction)
}

// clusterObjects is the object store.
type clusterObjects cluster

func (c *clusterObjects) Put(_ context.Context, key string, body []byte) error {
	if c.objectsDown {
		return &port.UnavailableError{Service: "objects", Cause: errFault}
	}
	c.objects[key] = body
	return nil
}

func (c *clusterObjects) Get(_ context.Context, key string) ([]byte, error) {
	if c.objectsDown {
		return nil, &port.UnavailableError{Service: "objects", Cause: errFault}
	}
	c.objectReads++
	body, found := c.objects[key]
	if !found {
		return nil, &port.NotFoundError{Service: "objects", Key: key}
	}
	return body, nil
}

// Members implements Peers.
func (d *daemon) Members() []Member {
	var members []Member
	for _, other := range d.cluster.daemons {
		if other != d {
			members = append(members, other.member)
		}
	}
	return members
}

// Size implements Peers.
func (d *daemon) Size() int { return d.cluster.size }

// Head implements Peers.
func (d *daemon) Head(ctx context.Context, member Member, request HeadRequest) (HeadResponse, error) {
	return deliver(ctx, d, member, request, (*Runner).HandleHead)
}

// Pull implements Peers.
func (d *daemon) Pull(ctx context.Context, member Member, request PullRequest) (PullResponse, error) {
	return deliver(ctx, d, member, request, (*Runner).HandlePull)
}

// Push implements Peers.
func (d *daemon) Push(ctx context.Context, member Member, request PushRequest) (PushResponse, error) {
	return deliver(ctx, d, member, request, (*Runner).HandlePush)
}

// deliver carries a call in the form that it has on the wire. A call whose
// answer is lost is made twice, as a repeat on the path would.
func deliver[Request, Response any](
	ctx context.Context, from *daemon, member Member, request Request,
	handle func(*Runner, context.Context, Request) (Response, error),
) (Response, error) {
	var none Response
	target := from.cluster.find(member.ID)
	if target.runner == nil || from.cut[member.ID] || target.cut[from.member.ID] {
		return none, &port.UnavailableError{Service: "peer", Cause: errFault}
	}
	from.cluster.served[member.ID]++
	response, err := handle(target.runner, ctx, recode(from.cluster.t, request))
	from.cluster.now = from.cluster.now.Add(from.delayed[member.ID])
	if err != nil {
		return none, err
	}
	if from.lost[member.ID] {
		_, _ = handle(target.runner, ctx, recode(from.cluster.t, request))
		return none, &port.OutcomeUnknownError{Service: "peer", Cause: errFault}
	}
	return recode(from.cluster.t, response), nil
}

func recode[Message any](t assert.TestingT, message Message) Message {
	encoded, err := msgpack.Marshal(message)
	assert.NilError(t, err)
	var decoded Message
	assert.NilError(t, msgpack.Unmarshal(encoded, &decoded))
	return decoded
}

func (c *cluster) find(id identity.DaemonID) *daemon {
	for _, found := range c.daemons {
		if found.member.ID == id {
			return found
		}
	}
	return nil
}
