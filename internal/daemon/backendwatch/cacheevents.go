package backendwatch

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Times between two tries to open a stream of cache events.
const (
	firstReconnect   = 200 * time.Millisecond
	longestReconnect = 5 * time.Second
)

// CacheEventSource opens an engine's stream of cache events after a sequence
// number.
type CacheEventSource interface {
	CacheEvents(ctx context.Context, address string, from uint64) (port.CacheEvents, error)
}

// cursor is how far an engine's cache events are read. Sequence numbers are those
// of one incarnation.
type cursor struct {
	incarnation identity.Incarnation
	next        uint64
}

// followCacheEvents reads an engine's cache events until the context ends. After
// a break it goes on after the last sequence number, with back-off.
func (p *poll) followCacheEvents(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstReconnect
	delays.MaxInterval = longestReconnect
	var position cursor
	for ctx.Err() == nil {
		if p.readCacheEvents(ctx, &position) {
			delays.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delays.NextBackOff()):
		}
	}
}

// readCacheEvents reads one stream to its end and tells whether anything came.
func (p *poll) readCacheEvents(ctx context.Context, position *cursor) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.breakStream.Store(&cancel)
	// A new life of the engine counts from the start.
	if current := identity.Incarnation(p.incarnation.Load()); current != position.incarnation {
		*position = cursor{incarnation: current}
	}
	stream, err := p.watcher.options.CacheEvents.CacheEvents(ctx, p.machine.Address, position.next)
	if err != nil {
		return false
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	received := false
	for {
		batch, err := stream.Next()
		if err != nil {
			return received
		}
		received = true
		if batch.Incarnation != position.incarnation {
			skipped := position.next > 0
			*position = cursor{incarnation: batch.Incarnation}
			if skipped {
				p.incarnation.Store(uint64(batch.Incarnation))
				return received // opened with the number of an earlier life
			}
		}
		position.next = batch.Sequence + 1
		p.watcher.options.Sink.ObserveCacheEvents(p.machine.ID, batch)
	}
}
