package claims

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// Bounds of the committer.
const (
	// maxBatch bounds the rows of one transaction.
	maxBatch = 256
	// maxOutcomes bounds the outcomes that wait while the table is down. More are
	// dropped: replicas know them too, until they expire.
	maxOutcomes = 20_000
	// drainPollInterval is how often a stop looks whether all is written.
	drainPollInterval = 10 * time.Millisecond
)

// committer writes rows to the table, many in one transaction.
type committer struct {
	options  Options
	claims   changeQueue
	outcomes changeQueue
	wake     chan struct{}
	// draining is set when outcomes no longer wait for company.
	draining atomic.Bool
}

func newCommitter(options Options) *committer {
	return &committer{options: options, wake: make(chan struct{}, 1)}
}

func (c *committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// writeOutcome records how a claim by votes ended, in one of the next commits.
func (c *committer) writeOutcome(granted grant, state identity.RunState) {
	value := row{Claimant: granted.claimant, State: rowStateOf(state)}.encode()
	c.writeBehind(&c.outcomes, &change{key: outcomeKey(granted), value: value})
}

// writeBehind adds a change that nobody waits for to a queue.
func (c *committer) writeBehind(queue *changeQueue, changed *change) {
	if !queue.add(changed, maxOutcomes) {
		c.options.Log.Debug("Outcome was dropped since too many wait for the table.")
	}
	c.signal()
}

// apply writes a row if it has the expected version, and waits for the result.
// It returns false when the context ended first: then it is not known whether
// the row was or will be written.
func (c *committer) apply(ctx context.Context, changed *change) (changeResult, bool) {
	changed.conditional = true
	changed.results = make(chan changeResult, 1)
	c.claims.add(changed, noLimit)
	c.signal()
	select {
	case result := <-changed.results:
		return result, true
	case <-ctx.Done():
	}
	if changed.state.CompareAndSwap(changePending, changeAbandoned) {
		return changeResult{}, false
	}
	return <-changed.results, true
}

// drain has all that waits written without delay. It returns when it is written,
// or with the context's error when that ends first.
func (c *committer) drain(ctx context.Context) error {
	c.draining.Store(true)
	c.signal()
	for !c.claims.idle() || !c.outcomes.idle() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause.For(ctx, drainPollInterval)
	}
	return nil
}

// run commits batches until the context ends.
func (c *committer) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = c.options.Timing.ClaimCommit
	retry.MaxInterval = time.Second
	for ctx.Err() == nil {
		if !c.wait(ctx) {
			return
		}
		batch := c.collect()
		if len(batch) == 0 {
			continue
		}
		started := time.Now()
		least := c.commit(ctx, batch, retry)
		pause.For(ctx, max(least, c.options.Timing.ClaimCommit-time.Since(started)))
	}
}

// wait returns once there is something to commit: claims at once, outcomes after
// they have waited for company.
func (c *committer) wait(ctx context.Context) bool {
	patience := time.NewTimer(c.options.Timing.OutcomeCommit)
	defer patience.Stop()
	for c.claims.empty() && !c.drainsOutcomes() {
		select {
		case <-c.wake:
		case <-patience.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (c *committer) drainsOutcomes() bool {
	return c.draining.Load() && !c.outcomes.empty()
}

func (c *committer) collect() []*change {
	batch := c.claims.take(maxBatch)
	return append(batch, c.outcomes.take(maxBatch-len(batch))...)
}

// commit tries one batch, and returns how long to pause afterwards. What is not
// settled goes back to the queue. A repeated try is safe: a condition that fails
// shows the row, and a change that has taken effect unseen finds its own value.
func (c *committer) commit(ctx context.Context, batch []*change, retry *backoff.ExponentialBackOff) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timing.TableCall)
	defer cancel()
	rows, err := c.options.Table.Commit(ctx, transactionOf(batch))
	var conflict *port.ConflictError
	var limited *port.RateLimitedError
	switch {
	case err == nil:
		retry.Reset()
		finishWritten(batch, rows)
		c.putBack(nil)
		return 0
	case errors.As(err, &conflict):
		retry.Reset()
		c.putBack(finishConflicting(batch, conflict.Current))
		return 0
	case errors.As(err, &limited):
		c.putBack(batch)
		return limited.RetryAfter
	default:
		c.options.Log.WithError(err).Debug("Claims could not be written to the table.")
		c.putBack(batch)
		return retry.NextBackOff()
	}
}

// putBack ends a try, of which these changes are to be tried again.
func (c *committer) putBack(batch []*change) {
	var claims, outcomes []*change
	for _, changed := range batch {
		if changed.conditional {
			claims = append(claims, changed)
		} else {
			outcomes = append(outcomes, changed)
		}
	}
	c.claims.putBack(claims)
	c.outcomes.putBack(outcomes)
}

func transactionOf(batch []*change) platformwire.Transaction {
	var transaction platformwire.Transaction
	for _, changed := range batch {
		if changed.conditional {
			condition := platformwire.Condition{Key: changed.key, Version: changed.expected}
			transaction.Conditions = append(transaction.Conditions, condition)
		}
		write := platformwire.Write{Key: changed.key, Value: changed.value}
		transaction.Writes = append(transaction.Writes, write)
	}
	return transaction
}

func finishWritten(batch []*change, rows []platformwire.Row) {
	versions := make(map[string]uint64, len(rows))
	for _, written := range rows {
		versions[written.Key] = written.Version
	}
	for _, changed := range batch {
		changed.finish(changeResult{written: true, version: versions[changed.key]})
	}
}

// finishConflicting ends the changes whose conditions failed, and returns the
// others, of which nothing was written.
func finishConflicting(batch []*change, current []platformwire.Row) []*change {
	rows := make(map[string]platformwire.Row, len(current))
	for _, present := range current {
		rows[present.Key] = present
	}
	var others []*change
	for _, changed := range batch {
		present, found := rows[changed.key]
		if len(rows) == 0 && changed.expected > 0 {
			// The row that the change was to replace is gone.
			changed.finish(changeResult{present: row{State: rowUnknown}})
			continue
		}
		if !found || !changed.conditional {
			others = append(others, changed)
			continue
		}
		own := bytes.Equal(present.Value, changed.value)
		changed.finish(changeResult{written: own, version: present.Version, present: decodeRow(present.Value)})
	}
	return others
}
