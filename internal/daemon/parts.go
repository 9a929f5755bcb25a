package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/lotusward/lotusward/internal/adapter/callerhttp"
)

// Times of an orderly stop.
const (
	// notReadyNotice is how long the daemon still takes requests after it has
	// said that it is not ready, so that load balancers see it first.
	notReadyNotice = 300 * time.Millisecond
	// drainPollInterval is how often a stop looks whether requests still run.
	drainPollInterval = 20 * time.Millisecond
	// serverStopTimeout bounds the stop of a server without long requests.
	serverStopTimeout = time.Second
)

// addRunner adds a part that runs until its context ends. Its interrupt waits for
// it, so that what it needs is still there while it ends.
func addRunner(group *run.Group, runPart func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	group.Add(func() error {
		defer close(done)
		return runPart(ctx)
	}, func(error) {
		cancel()
		<-done
	})
}

// addServer adds an HTTP server without long requests.
func (d *Daemon) addServer(group *run.Group, name string, listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: d.settings.Limits.HeaderReadTimeout,
		IdleTimeout:       d.settings.Limits.IdleTimeout,
	}
	group.Add(func() error {
		return serve(server, listener)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), serverStopTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			d.part(name).WithError(err).Debug("Connections were still open at the stop.")
			_ = server.Close() // what is left has no request of a caller
		}
	})
}

// addCallers adds the callers' server. Its interrupt returns when the running
// requests have ended, or after the settings' stop timeout.
func (d *Daemon) addCallers(group *run.Group) {
	server := callerhttp.NewServer(d.callers)
	group.Add(func() error {
		d.part("callers").WithField("address", d.listeners.callers.Addr().String()).Info("Serving callers.")
		return serve(server, d.listeners.callers)
	}, func(error) {
		d.drainCallers(server)
	})
}

func (d *Daemon) drainCallers(server *http.Server) {
	log := d.part("callers")
	d.stopping.Store(true)
	log.WithField("running", d.callers.Active()).Info("Stopping; running requests go on.")
	time.Sleep(notReadyNotice)
	d.callers.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Tuning.StopTimeout)
	defer cancel()
	d.awaitIdle(ctx)
	if err := server.Shutdown(ctx); err != nil {
		log.WithField("running", d.callers.Active()).Warn("The stop timeout cut requests.")
	}
	d.callers.Wait()
	log.Info("All requests have ended.")
}

// awaitIdle waits until no request runs or the context ends. New connections
// are still answered meanwhile, with a refusal.
func (d *Daemon) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for d.callers.Active() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) addLoop(group *run.Group) {
	addRunner(group, d.loop.Run)
}

// addConnections adds what closes this daemon's unused connections at the end. A
// server that stops would otherwise wait 5 s for those on which it has got nothing.
func (d *Daemon) addConnections(group *run.Group) {
	addRunner(group, func(ctx context.Context) error {
		<-ctx.Done()
		d.engines.CloseIdle()
		d.peers.Close()
		d.platform.closeIdle()
		return nil
	})
}

// addBackgroundParts adds the parts that keep the daemon's knowledge fresh.
func (d *Daemon) addBackgroundParts(group *run.Group) {
	addRunner(group, d.runClaims)
	addRunner(group, d.runRosters)
	addRunner(group, d.prewarmer.Run)
	addRunner(group, d.fleet.Run)
	addRunner(group, d.lease.Run)
	addRunner(group, d.configuration.Run)
	addRunner(group, d.runKnowledge)
	addRunner(group, d.watcher.Run)
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
