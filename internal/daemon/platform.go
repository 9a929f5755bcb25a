package daemon

import (
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/adapter/machinehttp"
	"github.com/lotusward/lotusward/internal/adapter/objecthttp"
	"github.com/lotusward/lotusward/internal/adapter/tablehttp"
	"github.com/lotusward/lotusward/internal/port"
)

// platformIdleConnections is how many unused connections to the platform are kept.
const platformIdleConnections = 4

// platformClients reach the platform's services.
type platformClients struct {
	table    port.TableService
	objects  port.ObjectStore
	machines port.MachineList
	// closeIdle closes the unused connections.
	closeIdle func()
}

func (d *Daemon) wirePlatform() {
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: platformIdleConnections,
		IdleConnTimeout:     time.Minute,
	}}
	d.platform = platformClients{
		table:    tablehttp.New(d.settings.Platform.Table, client),
		objects:  objecthttp.New(d.settings.Platform.Objects, client),
		machines: machinehttp.New(d.settings.Platform.Machines, client),

		closeIdle: client.CloseIdleConnections,
	}
}
