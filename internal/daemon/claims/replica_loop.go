package claims

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/core/claim"
)

// inboxSize is how many calls may wait for the replica.
const inboxSize = 1024

// errStopped says that the replica no longer answers.
var errStopped = errors.New("the claim replica has stopped")

// replicaLoop is the one goroutine that owns the replica's state.
type replicaLoop struct {
	options Options
	replica *claim.Replica
	inbox   chan func(*claim.Replica, claim.Timestamp)
	stopped chan struct{}
	// hurry asks for a round of recovery at once.
	hurry chan struct{}
	// read sends one read of the recovery; reading counts those on their way.
	read    func(context.Context, claim.Read)
	reading atomic.Int64
}

func newReplicaLoop(options Options, read func(context.Context, claim.Read)) *replicaLoop {
	return &replicaLoop{
		options: options,
		replica: claim.NewReplica(claim.Options{
			Self: options.Self, Incarnation: options.Incarnation,
			Started: claim.TimestampOf(options.Clock()), Limits: options.Limits,
		}),
		inbox:   make(chan func(*claim.Replica, claim.Timestamp), inboxSize),
		stopped: make(chan struct{}),
		hurry:   make(chan struct{}, 1),
		read:    read,
	}
}

func (l *replicaLoop) now() claim.Timestamp { return claim.TimestampOf(l.options.Clock()) }

func (l *replicaLoop) run(ctx context.Context) error {
	defer close(l.stopped)
	ticker := time.NewTicker(l.options.Timing.Recovery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case handle := <-l.inbox:
			handle(l.replica, l.now())
		case <-l.hurry:
			l.recover(ctx)
		case <-ticker.C:
			l.replica.Expire(l.now())
			l.recover(ctx)
		}
	}
}

// recover sends the reads that the replica still needs, one round at a time.
func (l *replicaLoop) recover(ctx context.Context) {
	if l.reading.Load() > 0 {
		return
	}
	reads := l.replica.Recover(l.now())
	l.reading.Add(int64(len(reads)))
	for _, read := range reads {
		go func() {
			defer l.reading.Add(-1)
			l.read(ctx, read)
		}()
	}
}

// hurryUp has the replica recover without waiting for the next round.
func (l *replicaLoop) hurryUp() {
	select {
	case l.hurry <- struct{}{}:
	default:
	}
}

// do runs a function on the replica and waits for it.
func (l *replicaLoop) do(ctx context.Context, handle func(*claim.Replica, claim.Timestamp)) error {
	_, err := ask(ctx, l, func(replica *claim.Replica, now claim.Timestamp) struct{} {
		handle(replica, now)
		return struct{}{}
	})
	return err
}

// ask runs a function on the replica and returns its answer.
func ask[Answer any](ctx context.Context, loop *replicaLoop, handle func(*claim.Replica, claim.Timestamp) Answer) (Answer, error) {
	answers := make(chan Answer, 1)
	var none Answer
	select {
	case loop.inbox <- func(replica *claim.Replica, now claim.Timestamp) { answers <- handle(replica, now) }:
	case <-loop.stopped:
		return none, errStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-loop.stopped:
		return none, errStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
