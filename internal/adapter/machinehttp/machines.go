// Package machinehttp reads the platform's machine list over HTTP.
package machinehttp

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/lotusward/lotusward/internal/adapter/platformhttp"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// serviceName names the service in errors.
const serviceName = "machines"

// Client implements port.MachineList.
type Client struct {
	platform platformhttp.Client
}

var _ port.MachineList = (*Client)(nil)

// New makes a client of the machine list at a base URL. A nil httpClient means
// http.DefaultClient.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{platform: platformhttp.Client{Service: serviceName, BaseURL: baseURL, HTTP: httpClient}}
}

// Machines implements port.MachineList.
func (c *Client) Machines(ctx context.Context) (platformwire.MachineList, error) {
	call := platformhttp.Call{Method: http.MethodGet, Path: platformwire.PathMachines}
	answer, err := c.platform.Do(ctx, call)
	if err != nil {
		return platformwire.MachineList{}, err
	}
	if answer.Status != http.StatusOK {
		return platformwire.MachineList{}, c.platform.Unexpected(answer)
	}
	var list platformwire.MachineList
	if err := json.Unmarshal(answer.Body, &list); err != nil {
		return platformwire.MachineList{}, &port.UnavailableError{Service: serviceName, Cause: err}
	}
	return list, nil
}
