// Package peersync lets daemons ask each other for a snapshot of what they believe of the
// platform's store: one HTTP request, answered in msgpack. It carries; package directory
// decides whom to ask, and what to make of the answer.
package peersync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/directory"
)

const (
	snapshotPath = "/snapshot"
	// Parameters of a request: what the asker has, and what it needs.
	hasRow       = "has_row"
	needsRow     = "needs_row"
	hasBackends  = "has_back_ends"
	needBackends = "needs_back_ends"
	// maximumBytes bounds an answer: 2,800 back ends of 150 bytes each and a
	// configuration of a megabyte fit.
	maximumBytes  = 8 << 20
	headerTimeout = 2 * time.Second
	// servedAtOnce is how many askers are answered at a time: more would all wait long on
	// a slow link, while others have the answer soon too.
	servedAtOnce = 8
)

// Client asks other daemons. It implements directory.Peers.
type Client struct {
	pool *httpexchange.Pool
	// observe is told how many bytes a daemon has sent; it may be nil.
	observe func(address string, bytes int)
}

// NewClient makes a Client. Observe is told how many bytes the daemon at an address has sent; nil is
// not.
func NewClient(pool *httpexchange.Pool, observe func(address string, bytes int)) *Client {
	return &Client{pool: pool, observe: observe}
}

var _ directory.Peers = (*Client)(nil)

// Snapshot implements directory.Peers.
func (c *Client) Snapshot(ctx context.Context, address string, have directory.Have) (directory.Snapshot, error) {
	values := url.Values{}
	for name, value := range map[string]uint64{
		hasRow: have.RowVersion, needsRow: have.NeedRowVersion, hasBackends: have.BackendsTo, needBackends: have.NeedBackendsTo,
	} {
		values.Set(name, strconv.FormatUint(value, 10))
	}
	answer, err := c.pool.Do(ctx, address, &httpexchange.Request{
		Method: http.MethodGet, Target: snapshotPath + "?" + values.Encode(), Host: address, Header: http.Header{},
	})
	if err != nil {
		return directory.Snapshot{}, err
	}
	defer answer.Close()
	content, err := io.ReadAll(io.LimitReader(answer, maximumBytes))
	if err != nil {
		return directory.Snapshot{}, err
	}
	if c.observe != nil {
		c.observe(address, len(content))
	}
	if answer.Status != http.StatusOK {
		return directory.Snapshot{}, fmt.Errorf("snapshot of %s: status %d", address, answer.Status)
	}
	var snapshot directory.Snapshot
	err = codec.Unmarshal(content, &snapshot)
	return snapshot, err
}

// Server answers other daemons.
type Server struct {
	address  string
	server   *http.Server
	snapshot func(ctx context.Context, have directory.Have) directory.Snapshot
	log      logrus.FieldLogger
	// places has room for those that are answered now.
	places chan struct{}
}

// NewServer makes a Server that listens on an address (IP:port) once it runs.
func NewServer(address string, snapshot func(ctx context.Context, have directory.Have) directory.Snapshot, log logrus.FieldLogger) *Server {
	made := &Server{address: address, snapshot: snapshot, log: log, places: make(chan struct{}, servedAtOnce)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, made.serve)
	made.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return made
}

// Run serves until the context ends. Without a listener the daemon goes on, and others
// ask elsewhere.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return s.serveNobody(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return s.serveNobody(ctx, err)
	}
	return nil
}

// serveNobody logs why other daemons can't ask this one, and waits for the end.
func (s *Server) serveNobody(ctx context.Context, err error) error {
	s.log.WithError(err).WithField("address", s.address).Error("Other daemons can't ask this one for a snapshot.")
	<-ctx.Done()
	return nil
}

func (s *Server) serve(writer http.ResponseWriter, request *http.Request) {
	have, err := readHave(request.URL.Query())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case s.places <- struct{}{}:
		defer func() { <-s.places }()
	default:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	snapshot := s.snapshot(request.Context(), have)
	encoded, err := codec.Marshal(&snapshot)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/msgpack")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = writer.Write(encoded) // an asker that has left needs no answer
}

func readHave(values url.Values) (directory.Have, error) {
	var have directory.Have
	for name, into := range map[string]*uint64{
		hasRow: &have.RowVersion, needsRow: &have.NeedRowVersion, hasBackends: &have.BackendsTo, needBackends: &have.NeedBackendsTo,
	} {
		value, err := strconv.ParseUint(values.Get(name), 10, 64)
		if err != nil {
			return have, fmt.Errorf("parameter %s is no number: %q", name, values.Get(name))
		}
		*into = value
	}
	return have, nil
}
