// Package enginehttp is the client of model engines and web-app runners over
// HTTP/1.1. It never sends a request twice, and it knows of every failed request
// whether any byte of it can have left.
package enginehttp

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Options sets up a Client. Zero fields get the defaults.
type Options struct {
	// DialTimeout limits the connecting.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// IdlePerBackend is how many unused connections to one back end are kept.
	IdlePerBackend int
	// MaxEventBytes limits one event of a token stream.
	MaxEventBytes int
	// MaxControlBytes limits the bodies of status and refusals.
	MaxControlBytes int64
	// MaxKVBytes limits an exported KV cache.
	MaxKVBytes int64
}

// The defaults of Options.
const (
	defaultDialTimeout     = 500 * time.Millisecond
	defaultIdleTimeout     = 60 * time.Second
	defaultIdlePerBackend  = 256
	defaultMaxEventBytes   = 1 << 20
	defaultMaxControlBytes = 1 << 20
	defaultMaxKVBytes      = 256 << 20
	maxResponseHeaderBytes = 64 << 10
	tcpKeepAlive           = 10 * time.Second
	transportBufferBytes   = 16 << 10
)

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.IdlePerBackend = cmp.Or(o.IdlePerBackend, defaultIdlePerBackend)
	o.MaxEventBytes = cmp.Or(o.MaxEventBytes, defaultMaxEventBytes)
	o.MaxControlBytes = cmp.Or(o.MaxControlBytes, defaultMaxControlBytes)
	o.MaxKVBytes = cmp.Or(o.MaxKVBytes, defaultMaxKVBytes)
	return o
}

// Client implements port.Engines. It is safe for use by any goroutine.
type Client struct {
	options   Options
	transport *http.Transport
}

var _ port.Engines = (*Client)(nil)

// New makes a client.
func New(options Options) *Client {
	options = options.withDefaults()
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: tcpKeepAlive}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	return &Client{options: options, transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    options.IdlePerBackend,
		IdleConnTimeout:        options.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         transportBufferBytes,
		WriteBufferSize:        transportBufferBytes,
	}}
}

// CloseIdle closes the unused connections.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// call is one HTTP request to a back end.
type call struct {
	method  string
	address string
	uri     string
	header  http.Header
	body    []byte
}

// roundTrip sends a request once. It fails with *port.AttemptError. Redirects are
// answers like any other.
func (c *Client) roundTrip(ctx context.Context, call call) (*http.Response, error) {
	var sent dispatch
	request, err := http.NewRequestWithContext(sent.trace(ctx), call.method, "http://"+call.address+call.uri, nil)
	if err != nil {
		return nil, &port.AttemptError{Cause: err}
	}
	if call.header != nil {
		request.Header = call.header
	}
	// A body without GetBody cannot be rewound. The transport replays a request
	// without a body, or with one that it can rewind, on its own when a kept
	// connection turns out dead; it does not replay this one, even when empty.
	request.Body = io.NopCloser(bytes.NewReader(call.body))
	request.ContentLength = int64(len(call.body))
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		unreachable := ctx.Err() == nil
		return nil, &port.AttemptError{Evidence: sent.evidence(), Unreachable: unreachable, Cause: err}
	}
	return response, nil
}

// targetHeader sets the headers that name an attempt.
func targetHeader(header http.Header, target port.Target) {
	header.Set(enginewire.HeaderRequestID, string(target.RequestID))
	header.Set(enginewire.HeaderAttempt, strconv.Itoa(target.Attempt))
	header.Set(enginewire.HeaderPriority, strconv.Itoa(int(target.Class)))
	if target.Incarnation != 0 {
		header.Set(enginewire.HeaderExpectedIncarnation, strconv.FormatUint(uint64(target.Incarnation), 10))
	}
}
