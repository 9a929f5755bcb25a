// Package platform is a stand-in for the platform's services: the transactional
// table service, the object store, the weight store and the machine list. It
// keeps all in memory, serves the contract of package platformwire over one HTTP
// server, and can be given limits and faults while it runs.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// Paths of the stand-in's own interface, which no real platform has.
const (
	// PathLabFaults answers GET with the Faults and takes POST with changes to them.
	PathLabFaults = "/lab/v1/faults"
	// PathLabMachines takes POST with a platformwire.Machine to add or change it,
	// and DELETE on PathLabMachines + "/" + id.
	PathLabMachines = "/lab/v1/machines"
	// PathLabStatistics answers GET with Statistics by service name.
	PathLabStatistics = "/lab/v1/statistics"
)

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// Options configure a Server. The zero value is a platform without limits or faults.
type Options struct {
	// Faults are the limits and faults from the start.
	Faults Faults
	// Now gives the time by which the machine list lags; nil means time.Now.
	Now func() time.Time
}

// Server is the platform stand-in.
type Server struct {
	faults   *faultState
	gates    map[ServiceName]*gate
	table    *Table
	machines *machineRegistry
	handler  http.Handler
}

// New makes a platform stand-in with an empty table.
func New(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	faults := &faultState{changed: make(chan struct{})}
	server := &Server{
		faults:   faults,
		gates:    map[ServiceName]*gate{},
		table:    NewTable(),
		machines: newMachineRegistry(options.Now, faults),
	}
	for _, service := range []ServiceName{ServiceTable, ServiceObjects, ServiceWeights, ServiceMachines} {
		server.gates[service] = newGate(service, faults)
	}
	server.SetFaults(options.Faults)
	server.handler = server.routes()
	return server
}

// routes builds the handler of all services.
func (s *Server) routes() http.Handler {
	objects := newObjectStore()
	weights := &weightStore{faults: s.faults}
	table := s.gates[ServiceTable]
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platformwire.PathTableRead, table.wrap(s.table.serveRead))
	mux.HandleFunc("POST "+platformwire.PathTableScan, table.wrap(s.table.serveScan))
	mux.HandleFunc("POST "+platformwire.PathTableCommit, table.wrap(s.table.serveCommit))
	mux.HandleFunc(platformwire.PathObjects, s.gates[ServiceObjects].wrap(objects.serve))
	mux.HandleFunc("GET "+platformwire.PathWeights, s.gates[ServiceWeights].wrap(weights.serve))
	mux.HandleFunc("GET "+platformwire.PathMachines, s.gates[ServiceMachines].wrap(s.machines.serve))
	mux.HandleFunc("GET "+PathLabFaults, s.serveFaults)
	mux.HandleFunc("POST "+PathLabFaults, s.changeFaults)
	mux.HandleFunc("POST "+PathLabMachines, s.machines.servePut)
	mux.HandleFunc("DELETE "+PathLabMachines+"/{id}", s.machines.serveRemove)
	mux.HandleFunc("GET "+PathLabStatistics, s.serveStatistics)
	return mux
}

// Serve answers on the listener until the context ends. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	// Requests in progress end with the context, hanging ones included.
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close() // Serve reports why it ended
	})
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("platform stand-in: %w", err)
}

// Handler returns the HTTP handler of all services.
func (s *Server) Handler() http.Handler { return s.handler }

// Faults returns the present limits and faults.
func (s *Server) Faults() Faults {
	faults, _ := s.faults.load()
	return faults
}

// SetFaults replaces the limits and faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.store(faults)
	for service, gate := range s.gates {
		gate.configure(faults.of(service))
	}
}

// PutMachine adds or changes a machine; it is seen after the lag.
func (s *Server) PutMachine(machine platformwire.Machine) { s.machines.put(machine) }

// Table returns the table itself, without limits and faults.
func (s *Server) Table() *Table { return s.table }

// Statistics returns the counts of calls by service.
func (s *Server) Statistics() map[ServiceName]Statistics {
	counts := make(map[ServiceName]Statistics, len(s.gates))
	for service, gate := range s.gates {
		counts[service] = gate.report()
	}
	return counts
}

// serveFaults answers GET on PathLabFaults.
func (s *Server) serveFaults(writer http.ResponseWriter, _ *http.Request) {
	send(writer, answer{status: http.StatusOK, body: s.Faults()})
}

// changeFaults answers POST on PathLabFaults.
func (s *Server) changeFaults(writer http.ResponseWriter, request *http.Request) {
	// Decoding over the present faults keeps those that the body does not name.
	faults := s.Faults()
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maximumBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	s.serveFaults(writer, request)
}

// serveStatistics answers GET on PathLabStatistics.
func (s *Server) serveStatistics(writer http.ResponseWriter, _ *http.Request) {
	send(writer, answer{status: http.StatusOK, body: s.Statistics()})
}
