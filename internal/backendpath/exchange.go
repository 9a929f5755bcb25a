package backendpath

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/relay"
)

// exchange is a request that is in flight on a direct connection.
type exchange struct {
	router  *Router
	address string
	// lastActivityAt is when data last arrived, or when the request was begun.
	lastActivityAt atomic.Pointer[time.Time]
	// onLost is called if the link is down; it may be nil.
	onLost func()
}

// begin registers a request before it is sent. End must follow.
func (r *Router) begin(dispatch *relay.Dispatch) *exchange {
	made := &exchange{router: r, address: dispatch.Address, onLost: dispatch.OnLinkLost}
	now := clock.Now()
	made.lastActivityAt.Store(&now)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.inFlight[made] = true
	return made
}

func (e *exchange) end() {
	e.router.mutex.Lock()
	defer e.router.mutex.Unlock()
	delete(e.router.inFlight, e)
}

// recordActivity records that data arrived.
func (e *exchange) recordActivity(now time.Time) {
	e.lastActivityAt.Store(&now)
	e.router.links.RecordActivity(now, e.address)
}

// lose reports that the link is down.
func (e *exchange) lose() {
	if e.onLost != nil {
		e.onLost()
	}
}

// checkLost finds out whether the link is the reason for a lost connection, and reports it if so.
func (e *exchange) checkLost(ctx context.Context) {
	if ctx.Err() == nil && e.router.check(e.address) == linkDown {
		e.lose()
	}
}

// silentSince returns the exchanges that were begun before a time and of which no data arrived since.
func (r *Router) silentSince(since time.Time) []*exchange {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var silent []*exchange
	for each := range r.inFlight {
		if each.lastActivityAt.Load().Before(since) {
			silent = append(silent, each)
		}
	}
	return silent
}

// directBody is the body of an answer that came directly.
type directBody struct {
	io.ReadCloser
	exchange *exchange
	context  context.Context
}

// Read implements io.Reader.
func (b *directBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	if count > 0 {
		b.exchange.recordActivity(clock.Now())
	}
	if err != nil && err != io.EOF {
		b.exchange.checkLost(b.context)
	}
	return count, err
}

// Close implements io.Closer.
func (b *directBody) Close() error {
	b.exchange.end()
	return b.ReadCloser.Close()
}
