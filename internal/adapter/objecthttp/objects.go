// Package objecthttp reaches the platform's object store over HTTP.
package objecthttp

import (
	"context"
	"net/http"
	"net/url"

	"github.com/lotusward/lotusward/internal/adapter/platformhttp"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// serviceName names the service in errors.
const serviceName = "objects"

// Client implements port.ObjectStore.
type Client struct {
	platform platformhttp.Client
}

var _ port.ObjectStore = (*Client)(nil)

// New makes a client of the object store at a base URL. A nil httpClient means
// http.DefaultClient.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{platform: platformhttp.Client{Service: serviceName, BaseURL: baseURL, HTTP: httpClient}}
}

// Put implements port.ObjectStore.
func (c *Client) Put(ctx context.Context, key string, body []byte) error {
	call := platformhttp.Call{Method: http.MethodPut, Path: path(key), Body: body, Writes: true}
	answer, err := c.platform.Do(ctx, call)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusNoContent && answer.Status != http.StatusOK {
		return c.platform.Unexpected(answer)
	}
	return nil
}

// Get implements port.ObjectStore.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	answer, err := c.platform.Do(ctx, platformhttp.Call{Method: http.MethodGet, Path: path(key)})
	if err != nil {
		return nil, err
	}
	switch answer.Status {
	case http.StatusOK:
		return answer.Body, nil
	case http.StatusNotFound:
		return nil, &port.NotFoundError{Service: serviceName, Key: key}
	default:
		return nil, c.platform.Unexpected(answer)
	}
}

// path is the URL path of an object; it keeps slashes in the key.
func path(key string) string {
	return (&url.URL{Path: platformwire.PathObjects + key}).EscapedPath()
}
