package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

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
	front     *http.Server
	ready     *http.Server
	// stopping is set once callers are to use other daemons; stopped is closed when
	// the last request has ended.
	stopping atomic.Bool
	stopped  chan struct{}
	log      logrus.FieldLogger
}

func newServing(settings platform.Settings, relaying *relay.Relay, known *directory.Directory, log logrus.FieldLogger) *serving {
	made := &serving{settings: settings, directory: known, log: log, stopped: make(chan struct{})}
	made.front = &http.Server{
		Handler:           platform.NewFront(relaying, made.maximumBody, made.stopping.Load),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	made.ready = &http.Server{Handler: platform.ReadyHandler(made.isReady), ReadHeaderTimeout: readyReadDeadline}
	return made
}

// isReady tells whether callers may come.
func (s *serving) isReady() bool { return !s.stopping.Load() && s.directory.Complete() }

func (s *serving) maximumBody() int64 {
	state := s.directory.State()
	if state == nil || state.Table.Configuration().Limits.MaxBodyBytes == 0 {
		return defaultBodyBytes
	}
	return state.Table.Configuration().Limits.MaxBodyBytes
}

// addTo adds both listeners to a group. The platform's questions are answered until
// the last request has ended.
func (s *serving) addTo(group *run.Group) {
	group.Add(func() error { return listenAndServe(s.ready, s.settings.Listen.Ready) }, func(error) {
		go func() {
			<-s.stopped
			_ = s.ready.Close()
		}()
	})
	group.Add(func() error {
		err := listenAndServe(s.front, s.settings.Listen.Front)
		if err != nil {
			return err
		}
		<-s.stopped
		return nil
	}, func(error) {
		go func() {
			s.stop()
			close(s.stopped)
		}()
	})
}

// listenAndServe serves until the server is closed.
func listenAndServe(server *http.Server, address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop ends the listener of callers in order: callers are sent away first, and
// served until the platform has noticed; then what is under way may end.
func (s *serving) stop() {
	s.log.Info("The daemon stops: it asks for no more callers.")
	grace := platform.Seconds(s.settings.Bounds.GraceS)
	ctx, cancel := context.WithTimeout(context.Background(), grace-lastMoment)
	defer cancel()
	s.stopping.Store(true)
	time.Sleep(min(entryForgetTime, grace/2))
	if err := s.front.Shutdown(ctx); err != nil {
		s.log.WithError(err).Warn("Some requests were still under way at the end.")
		_ = s.front.Close()
	}
}
