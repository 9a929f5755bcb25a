// Package operator is the operators' client of the daemons' administration interface: it
// sends statements, tries another daemon where one doesn't answer, and prints tables.
// Command lotusctl is a thin shell around it.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lotusward/lotusward/internal/administration"
	"github.com/lotusward/lotusward/internal/core/query"
)

const (
	// attemptTimeout bounds one try; the next one goes to another daemon.
	attemptTimeout = 3 * time.Second
	// firstPause and longestPause bound the growing pauses between tries.
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
	// maximumAnswerBytes bounds the answers that are read.
	maximumAnswerBytes = 64 << 20
)

// Client sends statements to any of several daemons. It is for one goroutine.
type Client struct {
	// Addresses are base URLs, http://IP:port. Each try goes to the next one.
	Addresses []string
	Token     string
	HTTP      *http.Client

	next int
}

// RejectedError is a daemon's final answer: the statement was not run.
type RejectedError struct{ Failure *administration.Error }

// Error implements error.
func (e *RejectedError) Error() string {
	if e.Failure.Statement != nil {
		return e.Failure.Statement.Error()
	}
	return e.Failure.Message
}

// Unwrap returns the daemon's error.
func (e *RejectedError) Unwrap() error { return e.Failure }

// UnreachableError says that no daemon answered in time.
type UnreachableError struct{ Cause error }

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon could answer in time: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Execute runs one statement. It fails with *query.ParseError before anything is sent,
// with *RejectedError when a daemon's answer is final, and with *UnreachableError when
// none answered before the context ended.
func (c *Client) Execute(ctx context.Context, statement string) (query.Table, error) {
	if _, err := query.Parse(statement); err != nil {
		return query.Table{}, err
	}
	body, err := json.Marshal(administration.StatementRequest{Statement: statement})
	if err != nil {
		return query.Table{}, fmt.Errorf("encode the request: %w", err)
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstPause, longestPause
	var last error
	table, err := backoff.Retry(ctx, func() (query.Table, error) {
		table, err := c.try(ctx, body)
		last = err
		if _, isFinal := err.(*RejectedError); isFinal {
			return table, backoff.Permanent(err)
		}
		return table, err
	}, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(0))
	if rejected, isFinal := last.(*RejectedError); isFinal {
		return table, rejected
	}
	if err != nil {
		return table, &UnreachableError{Cause: last}
	}
	return table, nil
}

// address takes the next daemon in turn.
func (c *Client) address() string {
	address := c.Addresses[c.next%len(c.Addresses)]
	c.next++
	return address
}

func (c *Client) try(ctx context.Context, body []byte) (query.Table, error) {
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, c.address()+administration.PathStatements, bytes.NewReader(body))
	if err != nil {
		return query.Table{}, backoff.Permanent(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return query.Table{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err != nil {
		return query.Table{}, err
	}
	return readAnswer(request.URL.Host, response.StatusCode, text)
}

// readAnswer reads a daemon's answer. What another daemon may answer otherwise is no
// final one.
func readAnswer(host string, status int, text []byte) (query.Table, error) {
	if status == http.StatusOK {
		var answer administration.Response
		if err := json.Unmarshal(text, &answer); err != nil || answer.Table == nil {
			return query.Table{}, fmt.Errorf("%s: the answer is not understood: %w", host, err)
		}
		return *answer.Table, nil
	}
	var failed administration.ErrorResponse
	if err := json.Unmarshal(text, &failed); err != nil || failed.Error == nil {
		return query.Table{}, fmt.Errorf("%s: status %d without an explanation", host, status)
	}
	if failed.Error.Code == administration.CodeUnavailable {
		return query.Table{}, fmt.Errorf("%s: %w", host, failed.Error)
	}
	return query.Table{}, &RejectedError{Failure: failed.Error}
}
