package peer

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// Limits of a client's connections.
const (
	dialTimeout         = time.Second
	idleTimeout         = time.Minute
	idleConnectionsHost = 4
)

// Client calls other daemons. It is safe for use by any goroutine.
type Client struct {
	ring      *keyring.Ring
	sender    identity.DaemonID
	transport *http.Transport
	now       func() time.Time
	bodyLimit int64
}

// NewClient makes a client that signs as sender. Now gives the wall clock.
func NewClient(ring *keyring.Ring, sender identity.DaemonID, now func() time.Time) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		ring:   ring,
		sender: sender,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnectionsHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		now:       now,
		bodyLimit: DefaultBodyLimit,
	}
}

// Close ends idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call posts request to path at address (IP:port) and decodes the answer into
// response, which must be a pointer or nil. It fails with
// *port.UnavailableError when the request cannot have reached a handler, with
// *port.OutcomeUnknownError when it may have, and with *RemoteError when the
// handler answered with an error. It never sends a request twice. The context
// bounds the whole call.
func (c *Client) Call(ctx context.Context, address, path string, request, response any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return fmt.Errorf("peer %s: encode request: %w", path, err)
	}
	call := exchange{client: c, path: path, service: "peer " + address}
	return call.run(ctx, "http://"+address+path, body, response)
}

// exchange is one call on its way.
type exchange struct {
	client    *Client
	path      string
	service   string
	signature string
	connected atomic.Bool
}

func (x *exchange) run(ctx context.Context, target string, body []byte, response any) error {
	message, err := x.newRequest(ctx, target, body)
	if err != nil {
		return x.unavailable(err)
	}
	answer, err := x.client.transport.RoundTrip(message)
	if err != nil {
		if x.connected.Load() {
			return x.unknown(err)
		}
		return x.unavailable(err)
	}
	defer answer.Body.Close()
	return x.readAnswer(answer, response)
}

// newRequest makes the signed request. Its trace notes when a connection was
// given to it: before that no byte can have left.
func (x *exchange) newRequest(ctx context.Context, target string, body []byte) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	digest := digestOf(body)
	timestamp := strconv.FormatInt(x.client.now().UnixNano(), 10)
	sender := string(x.client.sender)
	parts := requestParts(http.MethodPost, x.path, digest, timestamp, sender)
	x.signature = hex.EncodeToString(x.client.ring.Sign(parts...))
	message.Header.Set("Content-Type", contentType)
	message.Header.Set(headerSender, sender)
	message.Header.Set(headerTime, timestamp)
	message.Header.Set(headerDigest, digest)
	message.Header.Set(headerSignature, x.signature)
	return message, nil
}

func (x *exchange) readAnswer(answer *http.Response, response any) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, x.client.bodyLimit+1))
	if err != nil {
		return x.unknown(err)
	}
	signature, err := hex.DecodeString(answer.Header.Get(headerSignature))
	parts := responseParts(x.signature, answer.StatusCode, digestOf(body))
	if err != nil || !x.client.ring.Verify(signature, parts...) {
		return x.unknown(&UnauthenticatedError{Path: x.path, Status: answer.StatusCode})
	}
	switch answer.StatusCode {
	case http.StatusOK:
		return x.decode(body, response)
	case http.StatusInternalServerError:
		remote := &RemoteError{}
		if err := x.decode(body, remote); err != nil {
			return err
		}
		return remote
	default:
		return x.unavailable(&RefusedError{Path: x.path, Status: answer.StatusCode, Reason: string(body)})
	}
}

func (x *exchange) decode(body []byte, into any) error {
	if into == nil {
		return nil
	}
	if err := msgpack.Unmarshal(body, into); err != nil {
		return x.unknown(fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

func (x *exchange) unavailable(cause error) error {
	return &port.UnavailableError{Service: x.service + x.path, Cause: cause}
}

func (x *exchange) unknown(cause error) error {
	return &port.OutcomeUnknownError{Service: x.service + x.path, Cause: cause}
}
