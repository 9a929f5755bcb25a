package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

// read reads one table in full and follows its changes, again and again, while this daemon is to read the store.
func (d *Directory) read(ctx context.Context, which table, whole func(context.Context) (message, changeFeed)) {
	retries := d.newRetryPacer()
	for ctx.Err() == nil {
		d.awaitTask(ctx, which)
		began := d.role.readerTerm()
		got, following := whole(ctx)
		d.post(ctx, got)
		if got.err != nil {
			retries.pauseAfter(ctx, got.err)
			continue
		}
		retries.succeeded()
		following.table, following.term = which, began
		d.follow(ctx, following)
	}
}

func (d *Directory) post(ctx context.Context, got message) {
	select {
	case d.messages <- got:
	case <-ctx.Done():
	}
}

// changeFeed describes how a table's changes are followed after it was read in full.
type changeFeed struct {
	table table
	// term is the reader term of this daemon (readerRole.readerTerm) at that read.
	term uint64
	// after is the store's version at that read.
	after uint64
	// until is when the table is to be read in full again.
	until time.Time
	// keep is set if bulletins carry all changes, so that the table need not be read in full while they arrive, nor
	// when this daemon becomes the reader.
	keep bool
	// pause is the pause between two calls; wait is how long a call for changes is held.
	pause, wait time.Duration
	// next makes one call. It returns the version to go on after, and true if the table has to be read in full now.
	next func(ctx context.Context, after uint64, wait time.Duration) (message, uint64, bool)
	// changed has a value once the table is known to have changed; nil if that is never reported.
	changed signal
}

// follow follows changes until the table is to be read in full. After a failed call it resumes from where it was,
// unless the store has dropped its history.
func (d *Directory) follow(ctx context.Context, following changeFeed) {
	after := following.after
	retries := d.newRetryPacer()
	for ctx.Err() == nil {
		if d.awaitNext(ctx, following) {
			return
		}
		given := d.awaitTask(ctx, following.table)
		left := clock.Until(following.until)
		told := !d.role.isReader()
		if given == taskReadWhole || d.outdated(following, left, told) {
			return
		}
		after = max(after, d.positions[following.table].Load())
		bounded, cancel := context.WithTimeout(ctx, following.wait+hedgedChecks*hedgeTime+callTimeout)
		got, next, whole := following.next(bounded, after, following.hold(left, told))
		cancel()
		var lost *port.NotFoundError
		switch {
		case errors.As(got.err, &lost):
			return
		case got.err != nil:
			d.post(ctx, got)
			retries.pauseAfter(ctx, got.err)
			continue
		}
		retries.succeeded()
		if whole {
			return
		}
		d.post(ctx, got)
		after = max(after, next)
	}
}

// outdated reports whether a table has to be read in full before its changes are followed further. If keep is set,
// changes received from another daemon meanwhile are complete.
func (d *Directory) outdated(following changeFeed, left time.Duration, told bool) bool {
	if following.keep {
		return left <= 0 && !told
	}
	return left <= 0 || told || d.role.readerTerm() != following.term
}

// hold returns how long a call is held: one that only fills a gap is not held.
func (f *changeFeed) hold(left time.Duration, told bool) time.Duration {
	if told {
		return 0
	}
	return min(left, f.wait)
}

// awaitTask waits until this daemon is to read a table.
func (d *Directory) awaitTask(ctx context.Context, which table) task {
	for ctx.Err() == nil {
		given := d.role.decide(clock.Now(), which)
		if given.begins {
			d.options.Log.WithField("without_news_ms", given.overdue.Milliseconds()).Info("This daemon reads the store for all.")
		}
		if given.task != taskNone {
			return given.task
		}
		timer := time.NewTimer(given.checkAfter)
		select {
		case <-timer.C:
		case <-given.changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return taskNone
}

// retryPacer spaces retries of failed calls.
type retryPacer struct {
	limited *backoff.ExponentialBackOff
	// amongMany is set for calls that many daemons may make at the same time. limitedCalls counts consecutive
	// rate-limited calls.
	amongMany    bool
	limitedCalls int
	// spread is the mean pause after a call that got no answer.
	spread time.Duration
}

func (d *Directory) newRetryPacer() *retryPacer {
	limited := backoff.NewExponentialBackOff()
	limited.InitialInterval = failurePause
	limited.MaxInterval = maxRetryPause
	spread := time.Duration(len(d.options.Others())+1) * failurePausePerDaemon
	return &retryPacer{limited: limited, spread: min(max(spread, failurePause), maxFailurePause)}
}

// pauseAfter waits after a failed call. The pause after rate-limited calls grows each time, since refused calls
// count against the store's limits too; a store that is unreachable is tried again soon.
func (r *retryPacer) pauseAfter(ctx context.Context, err error) {
	var limited *port.RateLimitedError
	if errors.As(err, &limited) {
		pause.For(ctx, max(r.limited.NextBackOff(), limited.RetryAfter)+r.randomSpread(limited.RetryAfter))
		return
	}
	pause.For(ctx, r.spread/2+rand.N(r.spread))
}

// randomSpread returns a random addition to the pause after a rate-limited call that many daemons make at the same
// time: otherwise they would retry together, and most would be refused again. The reader must not wait so long.
func (r *retryPacer) randomSpread(retryAfter time.Duration) time.Duration {
	if !r.amongMany {
		return 0
	}
	spread := limitedSpreadFactor * max(retryAfter, failurePause) << min(r.limitedCalls, maxLimitedDoublings)
	r.limitedCalls++
	return rand.N(spread)
}

// succeeded resets the pauses.
func (r *retryPacer) succeeded() {
	r.limited.Reset()
	r.limitedCalls = 0
}

// untilNextReading returns when a table of a size is to be read in full again.
func untilNextReading(now time.Time, least time.Duration, bytes int) time.Time {
	interval := time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
	return now.Add(min(max(interval, least), maxReadInterval))
}

func (d *Directory) readDeclared(ctx context.Context) (message, changeFeed) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer d.reportUnanswered(ctx)()
	began := clock.Now()
	declared, err := d.options.Source.Declared(bounded)
	got := message{table: tableDeclared, began: began, ended: clock.Now(), declared: &declared, err: err}
	return got, changeFeed{
		after: declared.Version, until: untilNextReading(got.ended, declaredInterval, declared.Bytes),
		pause: d.options.Interval, changed: d.declaredChanged,
		next: func(ctx context.Context, _ uint64, _ time.Duration) (message, uint64, bool) {
			return d.checkDeclared(ctx, declared.Rows)
		},
	}
}

// checkDeclared checks whether the operators' rows are still as they were read. If so, the local data is confirmed
// as of when the call began.
func (d *Directory) checkDeclared(ctx context.Context, rows map[string]uint64) (message, uint64, bool) {
	found := d.checkHedged(ctx, rows)
	got := message{table: tableDeclared, began: found.began, ended: clock.Now(), checked: rows, err: found.err}
	return got, 0, found.err == nil && !found.unchanged
}

// check is the result of one call.
type check struct {
	began     time.Time
	unchanged bool
	err       error
}

// checkHedged repeats the call while there is no answer, and uses the first answer to any of them: the store may be
// slow, or have lost a call.
func (d *Directory) checkHedged(ctx context.Context, rows map[string]uint64) check {
	bounded, cancel := context.WithTimeout(ctx, callTimeout+hedgedChecks*hedgeTime)
	defer cancel()
	defer d.reportUnanswered(ctx)()
	answers := make(chan check, hedgedChecks)
	call := func() {
		began := clock.Now()
		unchanged, err := d.options.Source.Unchanged(bounded, rows)
		answers <- check{began: began, unchanged: unchanged, err: err}
	}
	for range hedgedChecks {
		go call()
		timer := time.NewTimer(hedgeTime)
		select {
		case answer := <-answers:
			timer.Stop()
			return answer
		case <-timer.C:
		}
	}
	return <-answers
}

// reportUnanswered posts a message if a call has had no answer for hedgeTime, unless the returned function is
// called before. The others are then informed: the store may be silent for all, and not all daemons need to take
// over to find that out.
func (d *Directory) reportUnanswered(ctx context.Context) (answered func() bool) {
	timer := time.AfterFunc(hedgeTime, func() { d.post(ctx, message{ended: clock.Now(), unanswered: true}) })
	return timer.Stop
}

func (d *Directory) readBackends(ctx context.Context) (message, changeFeed) {
	began := clock.Now()
	listed, err := d.readPages(ctx)
	got := message{table: tableBackends, began: began, ended: clock.Now(), listed: &listed, err: err}
	return got, changeFeed{
		after: listed.Version, until: untilNextReading(got.ended, backendsInterval, listed.Bytes),
		keep: true, pause: backendPause, wait: backendWait, next: d.backendChanges,
	}
}

// readPages reads the whole list, as of the moment of its first page: what changed since then follows as changes. A
// page that the store refuses for now is requested again, so that the pages before it need not be.
func (d *Directory) readPages(ctx context.Context) (Listed, error) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	retries := d.newRetryPacer()
	listed, err := d.readPage(bounded, "")
	for err == nil && listed.Next != "" {
		var page Listed
		page, err = d.readPage(bounded, listed.Next)
		var limited *port.RateLimitedError
		if errors.As(err, &limited) {
			retries.pauseAfter(bounded, err)
			err = bounded.Err()
			continue
		}
		if err == nil && port.EraOf(page.Version) != port.EraOf(listed.Version) {
			return listed, &port.OutcomeUnknownError{Service: "list of back ends", Cause: errEraChanged}
		}
		listed.Next = page.Next
		listed.Bytes += page.Bytes
		listed.Backends = append(listed.Backends, page.Backends...)
		listed.Malformed = errors.Join(listed.Malformed, page.Malformed)
	}
	return listed, err
}

// errEraChanged is returned if the store was restored from a backup between two pages.
var errEraChanged = errors.New("the store was restored from a backup between two pages")

// readPage makes one call, with a timeout of its own in case the store doesn't answer.
func (d *Directory) readPage(ctx context.Context, from string) (Listed, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.options.Source.Backends(bounded, from)
}

func (d *Directory) backendChanges(ctx context.Context, after uint64, wait time.Duration) (message, uint64, bool) {
	began := clock.Now()
	changes, err := d.options.Source.BackendChanges(ctx, after, wait)
	changes.After = after
	return message{table: tableBackends, began: began, ended: clock.Now(), changes: &changes, err: err}, changes.Last, false
}

// readMembers reads the rows of all daemons, as of the moment of the first page.
func (d *Directory) readMembers(ctx context.Context) (message, changeFeed) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := clock.Now()
	read, err := d.options.Source.Members(bounded, "")
	for next := read.Next; err == nil && next != ""; {
		var page Members
		page, err = d.options.Source.Members(bounded, next)
		read.Rows = append(read.Rows, page.Rows...)
		read.Malformed = errors.Join(read.Malformed, page.Malformed)
		read.Bytes += page.Bytes
		next = page.Next
	}
	got := message{table: tableMembers, began: began, ended: clock.Now(), members: &read, err: err}
	return got, changeFeed{
		after: read.Version, until: untilNextReading(got.ended, maxReadInterval, read.Bytes),
		keep: true, pause: memberPause, wait: memberWait, next: d.memberChanges,
	}
}

func (d *Directory) memberChanges(ctx context.Context, after uint64, wait time.Duration) (message, uint64, bool) {
	began := clock.Now()
	changes, err := d.options.Source.MemberChanges(ctx, after, wait)
	return message{table: tableMembers, began: began, ended: clock.Now(), members: &changes, err: err}, changes.Last, false
}
