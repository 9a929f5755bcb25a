// Package placements tells the other daemons what this one has placed on engines,
// and takes what they tell. Nothing depends on it that cannot be learned later
// from reports, so that a message which is lost or too late is not sent again.
package placements

import (
	"context"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// Path is the call that carries notices.
const Path = "/placements"

// Times and bounds of a runner.
const (
	// sendInterval is the time between two batches of notices to each daemon.
	sendInterval = 20 * time.Millisecond
	// sendTimeout bounds one call; notices that are older are worth nothing.
	sendTimeout = 200 * time.Millisecond
	// maxReceivers is how many other daemons are told. With more, some are left out.
	maxReceivers = 8
)

// Loop runs functions on the goroutine that owns the scheduler.
type Loop interface {
	// Call returns false when the loop has stopped.
	Call(function func(now time.Time)) bool
}

// Caller calls another daemon.
type Caller interface {
	Call(ctx context.Context, address, path string, request, response any) error
}

// Options are what a runner is made of.
type Options struct {
	Loop   Loop
	Policy scheduler.Sharing
	Peers  Caller
	// Receivers gives the addresses of the other daemons to tell, those of this
	// daemon's zone first.
	Receivers func() []string
}

// Batch is the body of a call.
type Batch struct {
	Notices []scheduler.Notice `msgpack:"notices"`
}

// Answer is the empty answer of a call.
type Answer struct{}

// Runner exchanges notices.
type Runner struct {
	options Options
	mutex   sync.Mutex
	// sending holds the addresses with a call under way.
	sending map[string]bool
	calls   sync.WaitGroup
}

// New makes a runner.
func New(options Options) *Runner {
	return &Runner{options: options, sending: make(map[string]bool)}
}

// Register adds the handler of the other daemons' notices.
func (r *Runner) Register(server *peer.Server) {
	peer.Handle(server, Path, func(_ context.Context, batch Batch) (Answer, error) {
		r.options.Loop.Call(func(now time.Time) { r.options.Policy.ObserveNotices(now, batch.Notices) })
		return Answer{}, nil
	})
}

// Run sends notices until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	defer r.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.send(ctx)
		}
	}
}

// send tells the other daemons what was placed since the last time.
func (r *Runner) send(ctx context.Context) {
	var notices []scheduler.Notice
	r.options.Loop.Call(func(time.Time) { notices = r.options.Policy.TakeNotices() })
	if len(notices) == 0 {
		return
	}
	receivers := r.options.Receivers()
	for _, address := range receivers[:min(maxReceivers, len(receivers))] {
		if r.begin(address) {
			r.calls.Add(1)
			go r.tell(ctx, address, Batch{Notices: notices})
		}
	}
}

// begin reserves the one call to an address. A slow daemon misses notices.
func (r *Runner) begin(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.sending[address] {
		return false
	}
	r.sending[address] = true
	return true
}

func (r *Runner) tell(ctx context.Context, address string, batch Batch) {
	defer r.calls.Done()
	limited, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var answer Answer
	// A failure is not reported: the probes of membership find what is down.
	_ = r.options.Peers.Call(limited, address, Path, batch, &answer)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.sending, address)
}
