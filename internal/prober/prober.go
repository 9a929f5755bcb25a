// Package prober finds out whether suspicious back ends can be reached, so that they are
// left before many requests are lost there, and are used again only once they can be.
package prober

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/pause"
)

const (
	// lookInterval is how often the pool is asked for suspects.
	lookInterval = 50 * time.Millisecond
	// reachTimeout bounds one attempt to connect. A back end's network answers within a
	// few milliseconds, however busy it is.
	reachTimeout = 120 * time.Millisecond
	// attempts is how many in a row must fail: a single packet may be lost.
	attempts = 2
)

// Options are what a Prober works with.
type Options struct {
	Pool *backendpool.Pool
	// Reach connects to a back end.
	Reach func(ctx context.Context, address string) backendpool.ConnectResult
	Log   logrus.FieldLogger
}

// Prober probes the suspects of a pool.
type Prober struct {
	options Options
	// woken has a value when the pool is to be asked at once.
	woken chan struct{}
}

// New makes a Prober that does nothing until it runs.
func New(options Options) *Prober {
	made := &Prober{options: options, woken: make(chan struct{}, 1)}
	options.Pool.OnProbeRequested(made.wake)
	return made
}

func (p *Prober) wake() {
	select {
	case p.woken <- struct{}{}:
	default: // it is woken already
	}
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) error {
	go p.runWoken(ctx)
	pause.Every(ctx, lookInterval, func(now time.Time) { p.look(ctx, now) })
	return nil
}

// runWoken probes whenever the pool has a suspect that must not wait.
func (p *Prober) runWoken(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.woken:
			p.look(ctx, clock.Now())
		}
	}
}

// look probes the suspects of now.
func (p *Prober) look(ctx context.Context, now time.Time) {
	for _, suspect := range p.options.Pool.TakeDueProbes(now) {
		go p.probe(ctx, suspect)
	}
}

// probe tells the pool whether one back end can be reached.
func (p *Prober) probe(ctx context.Context, suspect backendpool.ProbeTarget) {
	began := clock.Now()
	result := p.reach(ctx, suspect.Address)
	if ctx.Err() != nil {
		return
	}
	log := p.options.Log.WithFields(logrus.Fields{
		"backend": suspect.ID, "address": suspect.Address, "took_ms": clock.Since(began).Milliseconds(),
		"result": result.String(),
	})
	switch p.options.Pool.RecordProbe(clock.Now(), suspect.ID, result) {
	case backendpool.ProbeEjected:
		log.Warn("A back end can't be reached and is taken out.")
	case backendpool.ProbeReinstated:
		log.Info("A back end can be reached again.")
	}
}

// reach makes a few attempts to connect, until one succeeds, and returns the result of the last.
func (p *Prober) reach(ctx context.Context, address string) backendpool.ConnectResult {
	var result backendpool.ConnectResult
	for range attempts {
		bounded, cancel := context.WithTimeout(ctx, reachTimeout)
		result = p.options.Reach(bounded, address)
		cancel()
		if result == backendpool.Connected {
			break
		}
	}
	return result
}
