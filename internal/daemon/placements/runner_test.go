package placements

import (
	"context"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// lockedLoop stands for the control goroutine.
type lockedLoop struct{ mutex sync.Mutex }

func (l *lockedLoop) Call(function func(now time.Time)) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	function(time.Now())
	return true
}

// daemon is a scheduler with a runner on a real socket.
type daemon struct {
	loop    lockedLoop
	policy  *scheduler.Scheduler
	runner  *Runner
	address string
}

func startDaemon(t *testing.T, ctx context.Context, id identity.DaemonID, receivers func() []string) *daemon {
	ring, err := keyring.New([]byte(strings.Repeat("k", 32)))
	assert.NilError(t, err)
	started := &daemon{policy: scheduler.New(scheduler.Options{})}
	started.policy.SetBackends(time.Now(), []scheduler.Backend{{
		ID: "engine-1", Kind: identity.KindEngine, Incarnation: 1,
		Models: []enginewire.LoadedModel{{Model: "m", Version: "1", Ready: true}},
	}})
	started.runner = New(Options{
		Loop: &started.loop, Policy: started.policy,
		Peers: peer.NewClient(ring, id, time.Now), Receivers: receivers,
	})
	server := peer.NewServer(ring, time.Now, prometheus.NewRegistry())
	started.runner.Register(server)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	started.address = listener.Listener.Addr().String()
	var running sync.WaitGroup
	running.Go(func() { _ = started.runner.Run(ctx) })
	t.Cleanup(running.Wait)
	return started
}

// place sends a request with a prompt of its own id behind a shared prefix and
// returns how much of it the scheduler expects to be cached.
func (d *daemon) place(number int) int {
	chain := make(prefix.Chain, 64)
	for index := range chain {
		chain[index] = prefix.Hash(1024 * (index + 1))
	}
	expected := 0
	d.loop.Call(func(now time.Time) {
		id := identity.RequestID("r" + strconv.Itoa(number))
		for _, action := range d.policy.Arrive(now, scheduler.Request{
			ID: id, Kind: identity.KindEngine, Model: "m", Version: "1", Chain: chain, PromptTokens: 64 * prefix.BlockTokens, Attempt: 1,
		}) {
			expected = action.(scheduler.Start).ExpectedCachedTokens
			d.policy.Finish(now, scheduler.Finish{RequestID: id, Backend: "engine-1"})
		}
	})
	return expected
}

func TestAnotherDaemonExpectsWhatThisOnePlaced(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	receiver := startDaemon(t, ctx, "d2", func() []string { return nil })
	sender := startDaemon(t, ctx, "d1", func() []string { return []string{"127.0.0.1:1", receiver.address} })
	assert.Equal(t, receiver.place(0), 0)
	sender.place(0)
	number := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		number++
		if receiver.place(number) > 0 {
			return poll.Success()
		}
		return poll.Continue("nothing is expected yet")
	}, poll.WithTimeout(5*time.Second))
	cancel()
}
