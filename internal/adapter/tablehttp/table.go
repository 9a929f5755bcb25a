// Package tablehttp reaches the platform's transactional table over HTTP.
package tablehttp

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/lotusward/lotusward/internal/adapter/platformhttp"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// serviceName names the service in errors.
const serviceName = "table"

// Client implements port.TableService.
type Client struct {
	platform platformhttp.Client
}

var _ port.TableService = (*Client)(nil)

// New makes a client of the table service at a base URL. A nil httpClient means
// http.DefaultClient.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{platform: platformhttp.Client{Service: serviceName, BaseURL: baseURL, HTTP: httpClient}}
}

// Read implements port.TableService.
func (c *Client) Read(ctx context.Context, keys ...string) ([]platformwire.Row, error) {
	return c.rows(ctx, platformwire.PathTableRead, platformwire.ReadRequest{Keys: keys})
}

// Scan implements port.TableService.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platformwire.Row, error) {
	asked := platformwire.ScanRequest{Prefix: prefix, After: after, Limit: limit}
	return c.rows(ctx, platformwire.PathTableScan, asked)
}

// rows makes a call that only reads.
func (c *Client) rows(ctx context.Context, path string, asked any) ([]platformwire.Row, error) {
	answer, err := c.post(ctx, path, asked, false)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, c.platform.Unexpected(answer)
	}
	var read platformwire.ReadResponse
	if err := json.Unmarshal(answer.Body, &read); err != nil {
		return nil, &port.UnavailableError{Service: serviceName, Cause: err}
	}
	return read.Rows, nil
}

// Commit implements port.TableService.
func (c *Client) Commit(ctx context.Context, transaction platformwire.Transaction) ([]platformwire.Row, error) {
	answer, err := c.post(ctx, platformwire.PathTableCommit, transaction, true)
	if err != nil {
		return nil, err
	}
	switch answer.Status {
	case http.StatusOK:
		return committed(answer)
	case http.StatusConflict:
		return nil, conflict(answer)
	default:
		return nil, c.platform.Unexpected(answer)
	}
}

// committed reads the answer of a commit that took effect.
func committed(answer platformhttp.Answer) ([]platformwire.Row, error) {
	var written platformwire.CommitResponse
	if err := json.Unmarshal(answer.Body, &written); err != nil {
		return nil, &port.OutcomeUnknownError{Service: serviceName, Cause: err}
	}
	return written.Rows, nil
}

// conflict reads the answer of a commit that was refused. An unreadable body
// still means that nothing was written.
func conflict(answer platformhttp.Answer) error {
	var found platformwire.ConflictResponse
	if err := json.Unmarshal(answer.Body, &found); err != nil {
		return &port.ConflictError{}
	}
	return &port.ConflictError{Current: found.Rows}
}

// post sends a JSON body.
func (c *Client) post(ctx context.Context, path string, asked any, writes bool) (platformhttp.Answer, error) {
	body, err := json.Marshal(asked)
	if err != nil {
		return platformhttp.Answer{}, &port.UnavailableError{Service: serviceName, Cause: err}
	}
	call := platformhttp.Call{Method: http.MethodPost, Path: path, Body: body, Writes: writes}
	return c.platform.Do(ctx, call)
}
