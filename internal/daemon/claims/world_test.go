package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/standin/platform"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// world is some daemons in one process, with a network and a table between them.
type world struct {
	roster  dynamic.Roster
	table   port.TableService
	timing  Timing
	delay   func() time.Duration
	lose    func() bool
	mutex   sync.Mutex
	runners map[string]*Runner
	stops   map[string]context.CancelFunc
}

var errLost = errors.New("the message was lost")

func newWorld(daemons int, table port.TableService) *world {
	w := &world{
		table: table, runners: map[string]*Runner{}, stops: map[string]context.CancelFunc{},
		delay: func() time.Duration { return time.Millisecond }, lose: func() bool { return false },
	}
	w.roster.Epoch = 1
	for index := range daemons {
		name := fmt.Sprintf("daemon-%d", index)
		w.roster.Daemons = append(w.roster.Daemons, dynamic.Daemon{
			ID: identity.DaemonID(name), Zone: identity.Zone(fmt.Sprint(index % 3)), Address: name,
		})
	}
	return w
}

// start starts a daemon, again when it already runs.
func (w *world) start(index int) *Runner {
	daemon := w.roster.Daemons[index]
	w.stop(index)
	runner := New(Options{
		Self: daemon.ID, Incarnation: identity.Incarnation(time.Now().UnixMicro()),
		Caller: w, Table: w.table, Log: logging.Discard(), Timing: w.timing,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = runner.Run(ctx) }()
	_ = runner.SetRosters(ctx, []dynamic.Roster{w.roster})
	_ = runner.ConfigurationConfirmed(ctx, w.roster.Epoch)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runners[daemon.Address], w.stops[daemon.Address] = runner, cancel
	return runner
}

func (w *world) stop(index int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	address := w.roster.Daemons[index].Address
	if cancel := w.stops[address]; cancel != nil {
		cancel()
	}
	delete(w.runners, address)
}

func (w *world) startAll() []*Runner {
	var runners []*Runner
	for index := range w.roster.Daemons {
		runners = append(runners, w.start(index))
	}
	time.Sleep(time.Second) // new keys are born after the replicas' floors
	return runners
}

func (w *world) stopAll() {
	for index := range w.roster.Daemons {
		w.stop(index)
	}
	time.Sleep(time.Minute) // calls and settlements end
}

// Call implements Caller, with the messages encoded as on the wire.
func (w *world) Call(ctx context.Context, address, path string, request, response any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	if err := w.travel(ctx); err != nil {
		return err
	}
	w.mutex.Lock()
	runner := w.runners[address]
	w.mutex.Unlock()
	if runner == nil {
		return errLost
	}
	answer, err := serve(ctx, runner, path, body)
	if err != nil {
		return err
	}
	if err := w.travel(ctx); err != nil {
		return err
	}
	return msgpack.Unmarshal(answer, response)
}

func (w *world) travel(ctx context.Context) error {
	pause.For(ctx, w.delay())
	if w.lose() {
		return errLost
	}
	return ctx.Err()
}

func serve(ctx context.Context, runner *Runner, path string, body []byte) ([]byte, error) {
	switch path {
	case PathClaim:
		return handle(ctx, body, runner.HandleClaim)
	case PathSettle:
		return handle(ctx, body, runner.HandleSettle)
	default:
		return handle(ctx, body, runner.HandleRead)
	}
}

func handle[Request, Reply any](ctx context.Context, body []byte, handler func(context.Context, Request) (Reply, error)) ([]byte, error) {
	var request Request
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	reply, err := handler(ctx, request)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(reply)
}

// unreliableTable is a table whose calls take time and fail as fault says.
type unreliableTable struct {
	table *platform.Table
	delay func() time.Duration
	// commits counts the commits that took effect.
	mutex   sync.Mutex
	commits int
	fault   func() tableFault
}

func (t *unreliableTable) setFault(fault func() tableFault) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fault = fault
}

func (t *unreliableTable) nextFault() tableFault {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.fault()
}

type tableFault int

const (
	faultNone tableFault = iota
	faultDown
	faultLimited
	faultLostAnswer
	faultLostCall
	faultLateEffect
)

var errDown = errors.New("down")

func newTable() *unreliableTable {
	return &unreliableTable{
		table: platform.NewTable(),
		delay: func() time.Duration { return 2 * time.Millisecond },
		fault: func() tableFault { return faultNone },
	}
}

// randomFaults makes about a share of the calls fail.
func randomFaults(random *rand.Rand, percent int) func() tableFault {
	return func() tableFault {
		if random.IntN(100) >= percent {
			return faultNone
		}
		return tableFault(1 + random.IntN(int(faultLateEffect)))
	}
}

func (t *unreliableTable) Read(ctx context.Context, keys ...string) ([]platformwire.Row, error) {
	pause.For(ctx, t.delay())
	if t.nextFault() != faultNone || ctx.Err() != nil {
		return nil, &port.UnavailableError{Service: "table", Cause: errDown}
	}
	return t.table.Read(keys), nil
}

func (t *unreliableTable) Scan(context.Context, string, string, int) ([]platformwire.Row, error) {
	return nil, &port.UnavailableError{Service: "table", Cause: errDown}
}

func (t *unreliableTable) Commit(ctx context.Context, transaction platformwire.Transaction) ([]platformwire.Row, error) {
	pause.For(ctx, t.delay())
	unknown := &port.OutcomeUnknownError{Service: "table", Cause: errLost}
	switch t.nextFault() {
	case faultDown:
		return nil, &port.UnavailableError{Service: "table", Cause: errDown}
	case faultLimited:
		return nil, &port.RateLimitedError{Service: "table", RetryAfter: 10 * time.Millisecond}
	case faultLostAnswer:
		_, _ = t.commit(transaction)
		return nil, unknown
	case faultLostCall:
		return nil, unknown
	case faultLateEffect:
		go func() {
			time.Sleep(2 * time.Second)
			_, _ = t.commit(transaction)
		}()
		return nil, unknown
	}
	if ctx.Err() != nil {
		return nil, &port.UnavailableError{Service: "table", Cause: ctx.Err()}
	}
	return t.commit(transaction)
}

func (t *unreliableTable) commit(transaction platformwire.Transaction) ([]platformwire.Row, error) {
	rows, committed := t.table.Commit(transaction)
	if !committed {
		return nil, &port.ConflictError{Current: rows}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.commits++
	return rows, nil
}

// keyOf makes a claim key; a known birth is now.
func keyOf(name string, birthKnown bool) port.ClaimKey {
	key := port.ClaimKey{Tenant: "tenant", Service: "service", Key: name}
	if birthKnown {
		key.Born = time.Now()
	}
	return key
}
