package directory

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/logging"
)

func order(number uint64, target identity.SoftwareVersion) rollout.Order {
	return rollout.Order{Service: "s", Target: target, Number: number, Duration: 12 * time.Second}
}

func standing(row uint64, stage rollout.Stage) rollout.Standing {
	return rollout.Standing{Service: "s", Stable: "v1", Target: "v2", Order: 20, Stage: stage, Row: row}
}

// softwareDaemon returns a daemon that follows roll-outs, and has no configuration yet.
func softwareDaemon(log logrus.FieldLogger) *Directory {
	return New(Options{Pool: backendpool.New("a"), Log: log, Self: "b", Broadcast: func(Bulletin) {}, Software: true})
}

// softwareReading returns a read of a configuration with the service "s", at a version and clock of the store.
func softwareReading(store uint64, clock time.Duration) *Declared {
	declared := declaration(store, 7)
	declared.RowVersion = 10
	declared.Configuration.Services = []routing.Service{{Name: "s"}}
	declared.Clock = clock
	return &declared
}

// applyReading applies a read whose call took no time.
func applyReading(directory *Directory, at time.Time, declared *Declared) {
	directory.apply(message{table: tableDeclared, began: at, ended: at, declared: declared})
}

// softwareFollower returns a daemon that has read the store when its clock showed 50 s.
func softwareFollower(began time.Time) *Directory {
	follower := softwareDaemon(logging.Discard())
	applyReading(follower, began, softwareReading(10, 50*time.Second))
	follower.listed.Store(true)
	return follower
}

// TestOrderIsKnownWithWhenItWasNotThere checks the Since of an order that is read after a confirmation without it,
// and of one that exists at the first read.
func TestOrderIsKnownWithWhenItWasNotThere(t *testing.T) {
	began := time.Now()
	follower := softwareFollower(began)
	follower.apply(message{table: tableDeclared, began: began.Add(time.Second), ended: began.Add(time.Second), checked: follower.rows})
	ordered := softwareReading(20, 53*time.Second)
	ordered.Orders = []rollout.Order{order(20, "v2")}
	applyReading(follower, began.Add(3*time.Second), ordered)
	known := follower.State().Software["s"]
	assert.Equal(t, *known.Order, order(20, "v2"))
	assert.Equal(t, known.OrderSince, 51*time.Second)

	starter := softwareDaemon(logging.Discard())
	applyReading(starter, began, ordered)
	assert.Equal(t, starter.State().Software["s"].OrderSince, 53*time.Second)
	assert.Assert(t, starter.softwareNews().Orders[0].Guessed)
	starter.mergeSoftware(follower.softwareNews(), 20)
	assert.Equal(t, starter.State().Software["s"].OrderSince, 51*time.Second)
	follower.mergeSoftware(&SoftwareNews{Orders: []OrderNews{{Order: order(20, "v2"), Since: 53 * time.Second, Guessed: true}}}, 20)
	assert.Equal(t, follower.State().Software["s"].OrderSince, 51*time.Second)
}

// TestOrderOfAnUnknownServiceIsGuessed checks that Since is a guess for an order of a service that no configuration
// had and no check covered.
func TestOrderOfAnUnknownServiceIsGuessed(t *testing.T) {
	began := time.Now()
	follower := softwareFollower(began)
	ordered := softwareReading(20, 53*time.Second)
	ordered.Orders = []rollout.Order{{Service: "other", Target: "v2", Number: 20}}
	applyReading(follower, began.Add(3*time.Second), ordered)
	assert.Assert(t, follower.softwareNews().Orders[0].Guessed)
	assert.Equal(t, follower.State().Software["other"].OrderSince, 53*time.Second)
}

// TestOutdatedReadingsTakeNothingBack guards against outdated orders and standings that replace newer ones: from
// outdated reads, whether detected or not, from bulletins and from daemons that wrote them.
func TestOutdatedReadingsTakeNothingBack(t *testing.T) {
	began := time.Now()
	follower := softwareFollower(began)
	newest := softwareReading(30, 60*time.Second)
	newest.Orders = []rollout.Order{order(20, "v2")}
	newest.Standings = []rollout.Standing{standing(30, rollout.StageShift)}
	applyReading(follower, began.Add(10*time.Second), newest)
	for _, store := range []uint64{25, 31} { // ignored, and admitted
		old := softwareReading(store, 61*time.Second)
		old.Orders = []rollout.Order{order(15, "v3")}
		old.Standings = []rollout.Standing{standing(25, rollout.StageTrial)}
		applyReading(follower, began.Add(11*time.Second), old)
	}
	applyReading(follower, began.Add(12*time.Second), softwareReading(32, 62*time.Second)) // rows are missing
	follower.applyStanding(standing(29, rollout.StageTrial))
	follower.mergeDeclaredNews(began, "a", &DeclaredNews{Clock: 60 * time.Second, RowVersion: 10, Software: &SoftwareNews{
		Orders: []OrderNews{{Order: order(15, "v3")}}, Standings: []rollout.Standing{standing(25, rollout.StageTrial)},
	}})
	known := follower.State().Software["s"]
	assert.Equal(t, known.Order.Number, uint64(20))
	assert.Equal(t, known.Standing, standing(30, rollout.StageShift))
}

// TestBulletinConfirmsWhatItTells checks that an order and a standing from a bulletin are in force when its moment
// is confirmed. A lost bulletin does no harm, since the next one carries everything.
func TestBulletinConfirmsWhatItTells(t *testing.T) {
	began := time.Now()
	reader, follower := softwareFollower(began), softwareFollower(began)
	var told []*DeclaredNews
	reader.options.Broadcast = func(bulletin Bulletin) { told = append(told, bulletin.Declared) }
	reader.role.begin(began)
	ordered := softwareReading(20, 51*time.Second)
	ordered.Orders = []rollout.Order{order(20, "v2")}
	applyReading(reader, began.Add(time.Second), ordered)
	decided := softwareReading(21, 52*time.Second)
	decided.Orders, decided.Standings = ordered.Orders, []rollout.Standing{standing(21, rollout.StageTrial)}
	applyReading(reader, began.Add(2*time.Second), decided)
	assert.Equal(t, len(told), 2)

	follower.mergeDeclaredNews(began.Add(3*time.Second), "a", roundTripNews(t, told[1])) // the first bulletin is lost
	assert.DeepEqual(t, follower.State().Software, reader.State().Software)
	assert.Equal(t, follower.ConfirmedAt(), began.Add(2*time.Second))
}

// encode encodes a message like datagrams and snapshots.
func encode(t *testing.T, told any) []byte {
	t.Helper()
	encoded, err := codec.Marshal(told)
	assert.NilError(t, err)
	return encoded
}

// roundTripNews encodes and decodes news, as between two processes.
func roundTripNews(t *testing.T, told *DeclaredNews) *DeclaredNews {
	t.Helper()
	var got DeclaredNews
	assert.NilError(t, msgpack.Unmarshal(encode(t, told), &got))
	return &got
}

// TestDaemonsWithoutRollOutsConfirmNothing guards against confirmations by daemons that don't follow roll-outs and
// so don't notice orders. A daemon that doesn't follow them itself is confirmed by all.
func TestDaemonsWithoutRollOutsConfirmNothing(t *testing.T) {
	began := time.Now()
	follower := softwareFollower(began)
	older := &DeclaredNews{Clock: 52 * time.Second, StoreVersion: 12, RowVersion: 10}
	follower.mergeDeclaredNews(began.Add(3*time.Second), "a", older)
	assert.Equal(t, follower.ConfirmedAt(), began)
	asked := began.Add(4 * time.Second)
	snapshot := Snapshot{Complete: true, RowVersion: 10, Confirmed: 53 * time.Second, StoreVersion: 13}
	follower.adopt(&adoption{from: "a", asked: asked, answered: asked, snapshot: snapshot})
	assert.Equal(t, follower.ConfirmedAt(), began)
	snapshot.Software = &SoftwareNews{Standings: []rollout.Standing{standing(13, rollout.StageTrial)}}
	follower.adopt(&adoption{from: "a", asked: asked, answered: asked, snapshot: snapshot})
	assert.Equal(t, follower.ConfirmedAt(), began.Add(3*time.Second))
	assert.Equal(t, follower.State().Software["s"].Standing.Row, uint64(13))

	plain := readFollower(t)
	confirmed := plain.ConfirmedAt()
	older.RowVersion, older.Software = 10, &SoftwareNews{Standings: []rollout.Standing{standing(13, rollout.StageTrial)}}
	plain.mergeDeclaredNews(began.Add(3*time.Second), "a", older)
	assert.Assert(t, plain.ConfirmedAt().After(confirmed))
	assert.Assert(t, plain.State().Software == nil)
	assert.Assert(t, plain.Snapshot(context.Background(), Have{}).Software == nil)
}

// TestSnapshotOfAnOlderBelief guards against a snapshot made before a standing changed, and before the present
// configuration, that replaces newer data.
func TestSnapshotOfAnOlderBelief(t *testing.T) {
	began := time.Now()
	follower := softwareFollower(began)
	follower.applyStanding(standing(30, rollout.StageRolledBack))
	for _, row := range []uint64{10, 9} {
		snapshot := Snapshot{Complete: true, RowVersion: row, Configuration: &routing.Configuration{}, Software: &SoftwareNews{
			Orders: []OrderNews{{Order: order(20, "v2"), Since: time.Second}}, Standings: []rollout.Standing{standing(25, rollout.StageTrial)},
		}}
		follower.adopt(&adoption{from: "a", asked: began, answered: began, snapshot: snapshot})
	}
	assert.Equal(t, follower.State().Software["s"].Standing.Stage, rollout.StageRolledBack)
	assert.Equal(t, follower.State().Software["s"].Order.Number, uint64(20))
	assert.Equal(t, follower.State().Table.Version(), uint64(7))
}

// TestStarterIsToldOfSoftwareVersions checks that a starting daemon receives orders and standings with the
// configuration.
func TestStarterIsToldOfSoftwareVersions(t *testing.T) {
	began := time.Now().Add(-time.Second)
	known := softwareFollower(began)
	ordered := softwareReading(20, 51*time.Second)
	ordered.Orders = []rollout.Order{order(20, "v2")}
	ordered.Standings = []rollout.Standing{standing(20, rollout.StageTrial)}
	applyReading(known, began.Add(time.Second), ordered)
	starter := softwareDaemon(logging.Discard())
	answered := time.Now()
	snapshot := known.Snapshot(context.Background(), Have{})
	snapshot.HasBackends = true
	starter.adopt(&adoption{from: "a", asked: answered, answered: answered, snapshot: snapshot})
	assert.DeepEqual(t, starter.State().Software, known.State().Software)
	assert.Assert(t, starter.Complete())
}

// TestMalformedRowsLeaveTheLastInForce guards against losing an order whose row becomes malformed, and checks that
// this is logged.
func TestMalformedRowsLeaveTheLastInForce(t *testing.T) {
	logger, hook := logtest.NewNullLogger()
	directory := softwareDaemon(logger)
	began := time.Now()
	good := softwareReading(20, 51*time.Second)
	good.Orders = []rollout.Order{order(20, "v2")}
	applyReading(directory, began, good)
	malformed := softwareReading(21, 52*time.Second)
	malformed.Malformed = fmt.Errorf("rollout/s: names no version")
	applyReading(directory, began.Add(time.Second), malformed)
	assert.Equal(t, directory.State().Software["s"].Order.Number, uint64(20))
	line := hook.LastEntry()
	assert.Assert(t, strings.Contains(line.Message, "malformed"))
	assert.ErrorContains(t, line.Data[logrus.ErrorKey].(error), "names no version")
}

// TestBeliefIsTheSameInAnyOrder guards against daemons that differ after receiving the same orders and standings in
// different order and number.
func TestBeliefIsTheSameInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told []SoftwareNews
		for range rapid.IntRange(1, 12).Draw(t, "told") {
			service := identity.ServiceName(rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"))
			number := rapid.Uint64Range(1, 4).Draw(t, "number")
			if rapid.Bool().Draw(t, "order") {
				since := time.Duration(rapid.IntRange(1, 5).Draw(t, "since")) * time.Second
				heard := OrderNews{Order: rollout.Order{Service: service, Number: number}, Since: since, Guessed: rapid.Bool().Draw(t, "guessed")}
				told = append(told, SoftwareNews{Orders: []OrderNews{heard}})
				continue
			}
			told = append(told, SoftwareNews{Standings: []rollout.Standing{{Service: service, Row: number}}})
		}
		first, second := softwareDaemon(logging.Discard()), softwareDaemon(logging.Discard())
		for index := range told {
			first.mergeSoftware(&told[index], 5)
		}
		for _, index := range rapid.Permutation(indexesOf(told)).Draw(t, "order of the other one") {
			second.mergeSoftware(&told[index], 5)
			second.mergeSoftware(&told[rapid.IntRange(0, len(told)-1).Draw(t, "again")], 5)
		}
		assert.DeepEqual(t, first.softwareNews(), second.softwareNews())
	})
}

func indexesOf(told []SoftwareNews) []int {
	indexes := make([]int, len(told))
	for index := range indexes {
		indexes[index] = index
	}
	return indexes
}

// TestWrittenStandingIsLearntAtOnce checks that a running daemon adds a posted standing at once, and knows the
// store's clock by then.
func TestWrittenStandingIsLearntAtOnce(t *testing.T) {
	source := &clockedSource{memorySource: &memorySource{declared: declaration(10, 7)}, start: time.Now()}
	directory := New(Options{Source: source, Pool: backendpool.New("a"), Log: logging.Discard(), Interval: testInterval, Software: true})
	_, known := directory.StoreClock(time.Now())
	assert.Assert(t, !known)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = directory.Run(ctx) }()
	poll.WaitOn(t, inForce(directory, 7))
	directory.AddStanding(ctx, standing(11, rollout.StageTrial))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if directory.State().Software["s"].Standing.Row == 11 {
			return poll.Success()
		}
		return poll.Continue("the standing is not known")
	})
	now := time.Now()
	shown, known := directory.StoreClock(now)
	assert.Assert(t, known)
	assert.Assert(t, (shown-source.clock()).Abs() < 200*time.Millisecond, "%s", shown)
}

// TestNewsOfSoftwareIsSmall bounds the size of the news of eight services with an order each.
func TestNewsOfSoftwareIsSmall(t *testing.T) {
	belief := newSoftwareState(func(_, _ knownStanding) {})
	for index := range 8 {
		name := identity.ServiceName(fmt.Sprintf("service%d", index))
		told := order(1_000_000, "v12")
		told.Service = name
		belief.mergeOrder(OrderNews{Order: told, Since: time.Hour}, 20)
		kept := standing(1_000_001, rollout.StageCompleted)
		kept.Service, kept.BeganAt, kept.Deadline = name, time.Hour, time.Hour
		belief.mergeStanding(kept)
	}
	encoded := encode(t, belief.news())
	t.Logf("%d bytes", len(encoded))
	assert.Assert(t, len(encoded) < 8*120, "%d bytes", len(encoded))
}
