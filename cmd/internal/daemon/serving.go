package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/callerio"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/relay"
	"github.com/lotusward/lotusward/platform"
)

// Bounds of the callers' listener before a configuration tells others.
const (
	headerTimeout     = 10 * time.Second
	idleTimeout       = 75 * time.Second
	defaultBodyBytes  = 4 << 20
	headerBytes       = 64 << 10
	entryForgetTime   = 3 * time.Second
	lastMoment        = 600 * time.Millisecond
	readyReadDeadline = 2 * time.Second
)

// serving is what answers callers and the platform's questions.
type serving struct {
	settings  platform.Settings
	directory *directory.Directory
	// informed tells whether the daemon knows which requests no back end is to get.
	informed func() bool
	// callers are the listeners of callers, the platform's first, and others those that
	// answer until the last request has ended.
	callers, others []listening
	// stopping is set once callers are to use other daemons; stopped is closed when
	// the last request has ended.
	stopping atomic.Bool
	stopped  chan struct{}
	// waitForwarded waits for requests that are in flight for other daemons.
	waitForwarded func(ctx context.Context)
	// ledger accounts for what is held for callers.
	ledger *buffers.Tracker
	log    logrus.FieldLogger
}

func newServing(settings platform.Settings, relaying *relay.Relay, known *directory.Directory, informed func() bool, ledger *buffers.Tracker, log logrus.FieldLogger) *serving {
	made := &serving{settings: settings, directory: known, informed: informed, ledger: ledger, log: log, stopped: make(chan struct{}), waitForwarded: func(context.Context) {}}
	made.addCallers(settings.Listen.Front, platform.NewFront(relaying, made.maximumBody, made.stopping.Load, ledger))
	made.addOperators(settings.Listen.Ready, platform.ReadyHandler(made.isReady))
	return made
}

// listening is a server with its address.
type listening struct {
	address string
	server  *http.Server
}

// addCallers adds a listener for callers. It must be called before the daemon runs.
func (s *serving) addCallers(address string, handler http.Handler) {
	s.callers = append(s.callers, listening{address: address, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ConnState: callerio.NoteState,
	}})
}

// addOperators adds a listener for operators or the platform. It must be called before the
// daemon runs.
func (s *serving) addOperators(address string, handler http.Handler) {
	s.others = append(s.others, listening{address: address, server: &http.Server{Handler: handler, ReadHeaderTimeout: readyReadDeadline}})
}

// isReady tells whether callers may come.
func (s *serving) isReady() bool { return !s.stopping.Load() && s.directory.Complete() && s.informed() }

func (s *serving) maximumBody() int64 {
	state := s.directory.State()
	if state == nil || state.Table.Configuration().Limits.MaxBodyBytes == 0 {
		return defaultBodyBytes
	}
	return state.Table.Configuration().Limits.MaxBodyBytes
}

// addTo adds the listeners to a group. The first one to end for callers stops them all in
// order; the platform's and operators' questions are answered until the last request has
// ended.
func (s *serving) addTo(group *run.Group) {
	for _, other := range s.others {
		group.Add(func() error { return listenAndServe(other.server, other.address, nil) }, func(error) {
			go func() {
				<-s.stopped
				_ = other.server.Close()
			}()
		})
	}
	for _, caller := range s.callers {
		group.Add(func() error {
			if err := listenAndServe(caller.server, caller.address, s.accounted); err != nil {
				return err
			}
			<-s.stopped
			return nil
		}, func(error) { go s.stop() })
	}
}

// accounted accounts for a listener's connections.
func (s *serving) accounted(listener net.Listener) net.Listener {
	return callerio.NewListener(listener, s.ledger, s.log)
}

// listenAndServe serves until the server is closed. Wrap is applied to the listener; nil is not.
func listenAndServe(server *http.Server, address string, wrap func(net.Listener) net.Listener) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	if wrap != nil {
		listener = wrap(listener)
	}
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop ends the listeners of callers in order: callers are sent away first, and served
// until the platform has noticed; then what is under way may end.
func (s *serving) stop() {
	if s.stopping.Swap(true) {
		return
	}
	defer close(s.stopped)
	s.log.Info("The daemon stops: it asks for no more callers.")
	grace := platform.Seconds(s.settings.Bounds.GraceS)
	ctx, cancel := context.WithTimeout(context.Background(), grace-lastMoment)
	defer cancel()
	time.Sleep(min(entryForgetTime, grace/2))
	var ended sync.WaitGroup
	for _, caller := range s.callers {
		ended.Go(func() { s.end(ctx, caller.server) })
	}
	ended.Go(func() { s.waitForwarded(ctx) })
	ended.Wait()
}

// end lets the requests of a listener end, and cuts off those that take too long.
func (s *serving) end(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		s.log.WithError(err).Warn("Some requests were still under way at the end.")
		_ = server.Close()
	}
}
