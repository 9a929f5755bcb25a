// Package operator is the operators' client of the administration API: it sends
// statements, repeats what was lost, waits until changes are in force, and
// prints answers. Command lotusctl is a thin shell around it.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

const (
	// defaultAttemptTimeout bounds one try. A try that takes longer is given up,
	// and the next one, with the same change ID, finds out what came of it.
	defaultAttemptTimeout = 10 * time.Second
	// firstPause and longestPause bound the growing pauses between tries.
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
	// waitInterval is how often Wait asks.
	waitInterval = 250 * time.Millisecond
	// maximumAnswerBytes bounds the answers that are read.
	maximumAnswerBytes = 64 << 20
)

// Client sends statements to any of several daemons. It is safe for use by one
// goroutine.
type Client struct {
	// Addresses are base URLs, http://IP:port. Each try goes to the next one.
	Addresses []string
	Token     string
	HTTP      *http.Client
	// AttemptTimeout bounds one try; zero means ten seconds.
	AttemptTimeout time.Duration
	// NewBackOff makes the pauses between tries; nil means growing pauses.
	NewBackOff func() backoff.BackOff

	next int
}

// Execute runs one statement. It fails with *query.ParseError before anything is
// sent, with *RejectedError when a daemon's answer is final, with
// *UnreachableError when no daemon answered and nothing can have changed, and
// with *OutcomeUnknownError when the command may have been accepted. The context
// bounds all tries together.
func (c *Client) Execute(ctx context.Context, statement string) (adminwire.Response, error) {
	parsed, err := query.Parse(statement)
	if err != nil {
		return adminwire.Response{}, err
	}
	body := adminwire.StatementRequest{Statement: statement}
	if command, isCommand := parsed.(*query.Command); isCommand {
		body.ChangeID = string(command.ChangeID)
		if body.ChangeID == "" {
			body.ChangeID = uuid.NewString()
		}
	}
	return c.post(ctx, adminwire.PathStatements, body.ChangeID, body)
}

// Import replaces the whole configuration. It fails as Execute does.
func (c *Client) Import(ctx context.Context, document *dynamic.Document, base *identity.Revision) (adminwire.Response, error) {
	body := adminwire.ImportRequest{Document: *document, ChangeID: uuid.NewString(), Base: base}
	return c.post(ctx, adminwire.PathConfiguration, body.ChangeID, body)
}

// InForce asks on how many daemons a revision is in force. It fails as Execute does.
func (c *Client) InForce(ctx context.Context, revision identity.Revision) (adminwire.InForce, error) {
	path := adminwire.PathInForce + "?" + url.Values{
		adminwire.ParameterRevision: {strconv.FormatUint(uint64(revision), 10)},
	}.Encode()
	var answer adminwire.InForce
	err := c.retry(ctx, &call{client: c, method: http.MethodGet, path: path, answer: &answer})
	return answer, err
}

// Wait asks until a revision is in force on all daemons or the context ends. It
// gives each answer that differs from the one before to progress.
func (c *Client) Wait(ctx context.Context, revision identity.Revision, progress func(adminwire.InForce)) (adminwire.InForce, error) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	var last adminwire.InForce
	for {
		report, err := c.InForce(ctx, revision)
		if err != nil {
			return last, err
		}
		if report.Confirmed != last.Confirmed || report.Total != last.Total {
			progress(report)
		}
		last = report
		if report.Everywhere() {
			return report, nil
		}
		select {
		case <-ctx.Done():
			return last, &NotInForceError{Report: last}
		case <-ticker.C:
		}
	}
}

func (c *Client) post(ctx context.Context, path, changeID string, body any) (adminwire.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return adminwire.Response{}, fmt.Errorf("encode the request: %w", err)
	}
	var answer adminwire.Response
	err = c.retry(ctx, &call{
		client: c, method: http.MethodPost, path: path, body: encoded, changeID: changeID, answer: &answer,
	})
	return answer, err
}

// retry tries a call until its answer is final.
func (c *Client) retry(ctx context.Context, call *call) error {
	_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, call.try(ctx) },
		backoff.WithBackOff(c.newBackOff()), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return nil
	}
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		rejected.EarlierTryUnknown = call.unknown
		return rejected
	}
	if call.lastError != nil {
		err = call.lastError
	}
	if call.unknown {
		return &OutcomeUnknownError{ChangeID: call.changeID, Cause: err}
	}
	return &UnreachableError{Cause: err}
}

func (c *Client) newBackOff() backoff.BackOff {
	if c.NewBackOff != nil {
		return c.NewBackOff()
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	return pauses
}

// address takes the next daemon in turn.
func (c *Client) address() string {
	address := c.Addresses[c.next%len(c.Addresses)]
	c.next++
	return address
}

func (c *Client) attemptTimeout() time.Duration {
	if c.AttemptTimeout > 0 {
		return c.AttemptTimeout
	}
	return defaultAttemptTimeout
}

// call is one request with its tries.
type call struct {
	client   *Client
	method   string
	path     string
	body     []byte
	changeID string
	answer   any
	// unknown is set once a try may have reached a daemon and had no answer.
	unknown   bool
	lastError error
}

func (c *call) try(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.client.attemptTimeout())
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.method, c.client.address()+c.path, bytes.NewReader(c.body))
	if err != nil {
		return backoff.Permanent(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.client.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.HTTP.Do(request)
	if err != nil {
		return c.failed(err, connected.Load())
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err != nil {
		return c.failed(err, true)
	}
	return c.read(request.URL.Host, response.StatusCode, text)
}

// failed notes a try without a final answer.
func (c *call) failed(err error, mayHaveTakenEffect bool) error {
	c.unknown = c.unknown || mayHaveTakenEffect && c.changeID != ""
	c.lastError = err
	return err
}

func (c *call) read(host string, status int, text []byte) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(text, c.answer); err != nil {
			return c.failed(fmt.Errorf("%s: the answer is cut or not understood: %w", host, err), true)
		}
		return nil
	}
	var body adminwire.ErrorResponse
	if err := json.Unmarshal(text, &body); err != nil || body.Error == nil {
		return c.failed(fmt.Errorf("%s: status %d without an explanation", host, status), status >= http.StatusInternalServerError)
	}
	if body.Error.Code == adminwire.CodeUnavailable {
		return c.failed(fmt.Errorf("%s: %w", host, body.Error), body.Error.OutcomeUnknown)
	}
	return backoff.Permanent(&RejectedError{Failure: body.Error})
}
