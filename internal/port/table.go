// Package port declares the interface through which the daemon keeps rows of its own in
// the platform's store, and the typed errors that calls of the store fail with.
package port

import (
	"context"
	"fmt"
	"time"
)

// TableService is the platform's transactional table.
type TableService interface {
	// Read returns the existing rows of keys, read at one moment.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys start with prefix and follow after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. It fails with *ConflictError when a condition
	// does not hold, and with *OutcomeUnknownError when the answer was lost.
	Commit(ctx context.Context, transaction Transaction) ([]Row, error)
}

// ConflictError says that a transaction's conditions did not hold; nothing was written.
type ConflictError struct {
	// Current holds the rows whose conditions failed, as they are.
	Current []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: conflict on %d rows", len(e.Current))
}

// RateLimitedError says that the service took no part of the call for now.
type RateLimitedError struct {
	Service    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%s: rate limited, retry after %s", e.Service, e.RetryAfter)
}

// UnavailableError says that the call had no effect since the service was not reached, or said that it
// does nothing for now.
type UnavailableError struct {
	Service string
	// Refused is set where the service itself said so.
	Refused bool
	Cause   error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: unavailable: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError says that the call may or may not have taken effect.
type OutcomeUnknownError struct {
	Service string
	Cause   error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%s: outcome unknown: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// NotFoundError says that there is no value under a key.
type NotFoundError struct {
	Service string
	Key     string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s: %q not found", e.Service, e.Key)
}
