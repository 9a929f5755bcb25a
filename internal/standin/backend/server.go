// Package backend is what the stand-in model engine and the stand-in web-app
// runner have in common: lives and their incarnations, states, refusals, faults
// and the record of what ran.
package backend

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// DefaultStopGrace is how long a planned stop waits for running requests.
const DefaultStopGrace = 30 * time.Second

// relistenPause is the time between attempts to listen again after a crash.
const relistenPause = 20 * time.Millisecond

// headerTimeout limits how long a caller may take to send its headers.
const headerTimeout = 10 * time.Second

// Options set up a Server.
type Options struct {
	ID   identity.BackendID
	Kind identity.BackendKind
	// StopGrace is how long a planned stop waits; zero means DefaultStopGrace.
	StopGrace time.Duration
	// Log takes the server's messages; nil discards them.
	Log logrus.FieldLogger
}

// Server is the common part of a stand-in back end. It is safe for use by any
// goroutine.
type Server struct {
	options Options
	runs    runRecord
	crashes chan crash

	mutex        sync.Mutex
	incarnation  identity.Incarnation
	stateVersion uint64
	state        enginewire.State
	fence        identity.FencingToken
	faults       Faults
	stopping     chan struct{}
}

// crash asks the serving goroutine to end the present life.
type crash struct {
	downFor time.Duration
	dropped chan struct{}
}

// Life is one handler for one incarnation.
type Life interface {
	http.Handler
	// Run does the life's own work until the context ends.
	Run(ctx context.Context)
}

// New makes a server in its first incarnation, in the given state.
func New(options Options, state enginewire.State) *Server {
	options.StopGrace = cmp.Or(options.StopGrace, DefaultStopGrace)
	if options.Log == nil {
		options.Log = logging.Discard()
	}
	server := &Server{options: options, crashes: make(chan crash), stopping: make(chan struct{})}
	server.begin(state)
	return server
}

// Serve answers on the listener until the context ends, and then stops in
// order: it refuses new work and finishes what runs. Each life is made by newLife.
func (s *Server) Serve(ctx context.Context, listener net.Listener, first enginewire.State, newLife func() Life) error {
	address := listener.Addr().String()
	for {
		crashed, err := s.serveLife(ctx, listener, newLife())
		if crashed == nil {
			return err
		}
		s.options.Log.WithField("down_for", crashed.downFor).Info("Crashed on request.")
		s.begin(first)
		close(crashed.dropped)
		listener = relisten(ctx, address, crashed.downFor)
		if listener == nil {
			close(s.stopping)
			return nil
		}
	}
}

// serveLife serves one life. It returns the crash that ended it, or nil after a
// planned stop.
func (s *Server) serveLife(ctx context.Context, listener net.Listener, life Life) (*crash, error) {
	lifeContext, endLife := context.WithCancel(context.WithoutCancel(ctx))
	defer endLife()
	go life.Run(lifeContext)
	server := &http.Server{Handler: s.withLab(life), ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return nil, err
	case requested := <-s.crashes:
		_ = server.Close()
		<-served
		return &requested, nil
	case <-ctx.Done():
		return nil, s.stop(server)
	}
}

// stop ends a life in order.
func (s *Server) stop(server *http.Server) error {
	s.SetState(enginewire.StateLeaving)
	close(s.stopping)
	graceful, cancel := context.WithTimeout(context.Background(), s.options.StopGrace)
	defer cancel()
	err := server.Shutdown(graceful)
	if errors.Is(err, context.DeadlineExceeded) {
		_ = server.Close()
	}
	return err
}

// Stopping is closed when a planned stop begins; endless answers end then.
func (s *Server) Stopping() <-chan struct{} { return s.stopping }

// Crash drops all connections at once, loses all state and serves again, in a
// larger incarnation, after a pause. It returns when the connections are gone.
func (s *Server) Crash(downFor time.Duration) {
	requested := crash{downFor: downFor, dropped: make(chan struct{})}
	select {
	case s.crashes <- requested:
		<-requested.dropped
	case <-s.stopping:
	}
}

// relisten listens again after a pause. It returns nil when the context ends first.
func relisten(ctx context.Context, address string, downFor time.Duration) net.Listener {
	pause := downFor
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener
		}
		pause = relistenPause
	}
}
