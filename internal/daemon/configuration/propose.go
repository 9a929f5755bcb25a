package configuration

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/port"
)

// Accepted says that a change is committed.
type Accepted struct {
	Revision identity.Revision
	// Repeated is set when the change was accepted before this proposal.
	Repeated bool
}

// NotCommittedError says that a change was not committed, and that this proposal
// can't commit it any more.
type NotCommittedError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *NotCommittedError) Error() string {
	return fmt.Sprintf("change %s was not committed: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *NotCommittedError) Unwrap() error { return e.Cause }

// OutcomeUnknownError says that a change may have been committed, or may be yet.
// Proposing it again with the same ID is safe and finds out.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown, propose it again with the same ID: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// proposal is one change on its way to the table.
type proposal struct {
	runner *Runner
	change dynamic.Change
	// unknown is set once a commit was sent whose answer was lost.
	unknown bool
}

// Propose commits a change. It fails with *finding.Error when the change isn't
// valid, with *dynamic.ConflictError when its base is out of date, with
// *revision.ReusedIDError when the ID belongs to another change, with
// *NotCommittedError when the table can't be reached in time, and with
// *OutcomeUnknownError when a commit's answer was lost and the table couldn't be
// asked again. It takes at most Options.ProposeTimeout.
func (r *Runner) Propose(ctx context.Context, change dynamic.Change) (Accepted, error) {
	if err := dynamic.CheckChange(change); err != nil {
		return Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.ProposeTimeout)
	defer cancel()
	select {
	case r.proposing <- struct{}{}:
		defer func() { <-r.proposing }()
	case <-ctx.Done():
		return Accepted{}, &NotCommittedError{ChangeID: change.ID, Cause: ctx.Err()}
	}
	proposed := &proposal{runner: r, change: change}
	accepted, err := backoff.Retry(ctx,
		func() (Accepted, error) { return proposed.try(ctx) },
		backoff.WithBackOff(r.options.NewBackOff()),
		backoff.WithMaxElapsedTime(r.options.ProposeTimeout))
	return accepted, proposed.explain(err)
}

// try reads where the table stands and commits on top of it.
func (p *proposal) try(ctx context.Context) (Accepted, error) {
	asked := p.runner.options.Clock()
	position, err := p.runner.position(ctx, p.change.ID)
	if err != nil {
		return Accepted{}, waitAsTold(err)
	}
	if err := p.runner.catchUp(ctx, position); err != nil {
		return Accepted{}, fmt.Errorf("catch up with the table: %w", waitAsTold(err))
	}
	if err := p.runner.confirm(position.Head, asked); err != nil {
		return Accepted{}, err
	}
	if position.Accepted != nil {
		return p.resolve(ctx, *position.Accepted)
	}
	plan, err := revision.PlanCommit(position, p.runner.Document(), p.change)
	if err != nil {
		return Accepted{}, planError(err)
	}
	if plan.Object != nil {
		if err := p.runner.options.Objects.Put(ctx, plan.Object.Key, plan.Object.Body); err != nil {
			return Accepted{}, waitAsTold(err)
		}
	}
	return p.commit(ctx, plan)
}

func (p *proposal) commit(ctx context.Context, plan revision.Plan) (Accepted, error) {
	_, err := p.runner.options.Table.Commit(ctx, plan.Transaction)
	if err == nil {
		p.runner.accept(plan.Entry)
		return Accepted{Revision: plan.Entry.Revision}, nil
	}
	if mayHaveCommitted(err) {
		p.unknown = true
	}
	// The next try reads whether this change or another one was committed.
	return Accepted{}, waitAsTold(err)
}

// mayHaveCommitted is true for every error that doesn't exclude an effect.
func mayHaveCommitted(err error) bool {
	var conflict *port.ConflictError
	var limited *port.RateLimitedError
	var unavailable *port.UnavailableError
	return !errors.As(err, &conflict) && !errors.As(err, &limited) && !errors.As(err, &unavailable)
}

// resolve tells the result of a change ID that the table has accepted.
func (p *proposal) resolve(ctx context.Context, accepted identity.Revision) (Accepted, error) {
	entry, err := p.runner.acceptedEntry(ctx, accepted)
	if err != nil {
		return Accepted{}, waitAsTold(err)
	}
	if !revision.SameChange(entry.Change, p.change) {
		return Accepted{}, backoff.Permanent(&revision.ReusedIDError{ID: p.change.ID, Revision: accepted})
	}
	p.runner.accept(entry)
	return Accepted{Revision: accepted, Repeated: !p.unknown}, nil
}

// planError marks the errors that a further try can't mend. They are final also
// after a commit whose answer was lost: either the table's head has moved past
// that commit, or the same head would have given the same plan again.
func planError(err error) error {
	var behind *revision.BehindError
	if errors.As(err, &behind) {
		return err
	}
	return backoff.Permanent(&rejection{cause: err})
}

// rejection marks an error about the change itself.
type rejection struct{ cause error }

// Error implements error.
func (e *rejection) Error() string { return e.cause.Error() }

// waitAsTold keeps to the waiting time that a service asks for.
func waitAsTold(err error) error {
	var limited *port.RateLimitedError
	if errors.As(err, &limited) {
		return &backoff.RetryAfterError{Duration: max(limited.RetryAfter, time.Millisecond)}
	}
	return err
}

// explain turns the last try's error into the error of the proposal.
func (p *proposal) explain(err error) error {
	if err == nil {
		return nil
	}
	var rejected *rejection
	if errors.As(err, &rejected) {
		return rejected.cause
	}
	var reused *revision.ReusedIDError
	if errors.As(err, &reused) {
		return reused
	}
	if p.unknown {
		return &OutcomeUnknownError{ChangeID: p.change.ID, Cause: err}
	}
	return &NotCommittedError{ChangeID: p.change.ID, Cause: err}
}

// accept puts an accepted entry in force here and tells the others.
func (r *Runner) accept(entry revision.Entry) {
	if err := r.offer([]revision.Entry{entry}, revision.SourceTable); err != nil {
		r.options.Log.WithError(err).Error("The accepted change can't be applied.")
		return
	}
	r.mirror.request()
	r.options.Go(func() { r.push(entry, r.options.Peers.Members()) })
}
