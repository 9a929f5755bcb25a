// Package platformhttp makes HTTP calls to the platform's services and sorts
// their failures into the typed errors of package port. The adapters of the
// single services build on it.
package platformhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/port"
)

const (
	// maximumAnswer is the largest answer in bytes.
	maximumAnswer = 64 << 20
	// defaultRetryAfter is used when a rate-limited answer names no time.
	defaultRetryAfter = time.Second
)

// Client calls one service. Every call's time is bounded by its context.
type Client struct {
	// Service names the service in errors.
	Service string
	// BaseURL is the service's URL without a path, such as http://192.0.2.1:80.
	BaseURL string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// Call is one call of a service.
type Call struct {
	Method string
	Path   string
	Body   []byte
	// Writes marks a call with an effect: when its answer is lost, the outcome
	// is unknown. Other calls have no effect whatever happens.
	Writes bool
	// IfNoneMatch, when not empty, is the entity tag of the answer that is at hand.
	// The service may answer http.StatusNotModified in place of sending it again.
	IfNoneMatch string
}

// Answer is an answer that is neither a refusal nor a failure of the service.
type Answer struct {
	Status int
	Body   []byte
	// EntityTag names this version of the body; empty when the service has none.
	EntityTag string
}

// StatusError says that a service answered with a status that the caller of this
// package did not expect. The call had no effect.
type StatusError struct {
	Service string
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Service, e.Status, e.Message)
}

// Do makes a call. Besides answers with status 2xx and 4xx it returns
// *port.RateLimitedError for 429, *port.UnavailableError when the call certainly
// had no effect, and *port.OutcomeUnknownError when it may have had one.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	// Without a connection, no byte of the call can have reached the service.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := strings.TrimSuffix(c.BaseURL, "/") + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, &port.UnavailableError{Service: c.Service, Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	if call.IfNoneMatch != "" {
		request.Header.Set("If-None-Match", call.IfNoneMatch)
	}
	response, err := c.client().Do(request)
	if err != nil {
		return Answer{}, c.failure(call.Writes && connected.Load(), err)
	}
	defer func() { _ = response.Body.Close() }() // the body was read or given up
	return c.sort(call, response)
}

// sort tells answers from refusals and failures.
func (c *Client) sort(call Call, response *http.Response) (Answer, error) {
	// A refusal says by its status alone that nothing was done.
	switch response.StatusCode {
	case http.StatusTooManyRequests:
		return Answer{}, &port.RateLimitedError{Service: c.Service, RetryAfter: retryAfter(response)}
	case http.StatusServiceUnavailable:
		return Answer{}, c.failure(false, fmt.Errorf("status %d", response.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswer))
	if err != nil {
		return Answer{}, c.failure(call.Writes, err)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return Answer{}, c.failure(call.Writes, fmt.Errorf("status %d", response.StatusCode))
	}
	return Answer{Status: response.StatusCode, Body: body, EntityTag: response.Header.Get("ETag")}, nil
}

// Unexpected makes the error for an answer whose status has no meaning here.
func (c *Client) Unexpected(answer Answer) error {
	const longest = 200
	message := string(answer.Body[:min(len(answer.Body), longest)])
	return &StatusError{Service: c.Service, Status: answer.Status, Message: message}
}

// failure makes the typed error of a call that failed.
func (c *Client) failure(mayHaveEffect bool, cause error) error {
	if mayHaveEffect {
		return &port.OutcomeUnknownError{Service: c.Service, Cause: cause}
	}
	return &port.UnavailableError{Service: c.Service, Cause: cause}
}

// client returns the HTTP client to use.
func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// retryAfter reads the Retry-After header, in seconds.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
