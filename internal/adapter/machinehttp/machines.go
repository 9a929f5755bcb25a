// Package machinehttp reads the platform's machine list over HTTP.
package machinehttp

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/lotusward/lotusward/internal/adapter/platformhttp"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// serviceName names the service in errors.
const serviceName = "machines"

// Client implements port.MachineList. It asks for the list only if it changed,
// where the platform gives entity tags.
type Client struct {
	platform platformhttp.Client

	mutex sync.Mutex
	tag   string
	list  platformwire.MachineList
}

var _ port.MachineList = (*Client)(nil)

// New makes a client of the machine list at a base URL. A nil httpClient means
// http.DefaultClient.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{platform: platformhttp.Client{Service: serviceName, BaseURL: baseURL, HTTP: httpClient}}
}

// Machines implements port.MachineList. The list may be the one returned before,
// and must not be changed.
func (c *Client) Machines(ctx context.Context) (platformwire.MachineList, error) {
	tag, known := c.known()
	call := platformhttp.Call{Method: http.MethodGet, Path: platformwire.PathMachines, IfNoneMatch: tag}
	answer, err := c.platform.Do(ctx, call)
	if err != nil {
		return platformwire.MachineList{}, err
	}
	if answer.Status == http.StatusNotModified && tag != "" {
		return known, nil
	}
	if answer.Status != http.StatusOK {
		return platformwire.MachineList{}, c.platform.Unexpected(answer)
	}
	var list platformwire.MachineList
	if err := json.Unmarshal(answer.Body, &list); err != nil {
		return platformwire.MachineList{}, &port.UnavailableError{Service: serviceName, Cause: err}
	}
	c.keep(answer.EntityTag, list)
	return list, nil
}

func (c *Client) known() (string, platformwire.MachineList) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.tag, c.list
}

func (c *Client) keep(tag string, list platformwire.MachineList) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.tag, c.list = tag, list
}
