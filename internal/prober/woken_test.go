package prober

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// TestCutConnectionIsLookedIntoAtOnce loses a connection with a request under way: the back end
// is probed, and who wants to know is told whether it is there.
func TestCutConnectionIsLookedIntoAtOnce(t *testing.T) {
	for _, result := range []backendpool.ConnectResult{backendpool.Connected, backendpool.ConnectRefused, backendpool.ConnectTimedOut} {
		pool := backendpool.New("a")
		told := make(chan bool, 4)
		pool.OnReachability(func(_ identity.BackendID, reached bool) { told <- reached })
		prober := New(Options{
			Pool: pool, Log: logging.Discard(), Reach: func(context.Context, string) backendpool.ConnectResult { return result },
		})
		pool.Update([]backendpool.Backend{{ID: "b", Service: "s", Zone: "a", Address: "10.0.0.1:80"}})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			_ = prober.Run(ctx)
			close(ended)
		}()
		pool.Pick(time.Now(), backendpool.Query{Service: "s"}).Release(time.Now(), backendpool.ResultConnectionLost)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(told) > 0 {
				return poll.Success()
			}
			return poll.Continue("nothing is told")
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(2*time.Second))
		assert.Equal(t, <-told, result == backendpool.Connected)
		stop()
		<-ended
	}
}
