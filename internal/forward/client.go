package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/relay"
)

const (
	// maxHelpers bounds the daemons that one attempt is offered to. All but the last have surely not sent it.
	maxHelpers = 3
	// connectTimeout is how long a daemon may take to accept a connection.
	connectTimeout = 150 * time.Millisecond
	contentType    = "application/msgpack"
)

var (
	// errNoHelper means that no other daemon is known to reach the back end.
	errNoHelper = errors.New("no other daemon is known to reach the back end")
	// errConnectTimeout cancels an exchange with a daemon that accepts no connection.
	errConnectTimeout = errors.New("the daemon took too long to accept a connection")
)

// RefusedError reports a daemon that didn't take a request, which it has not sent.
type RefusedError struct {
	Address string
	// Status is the HTTP status of the refusal.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("daemon %s refused to forward a request with status %d", e.Address, e.Status)
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Pool    *httpexchange.Pool
	Inquiry *Inquiry
	// Distance returns how far away the daemon at an address is.
	Distance func(address string) distance.Distance
}

// Client sends requests through other daemons. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	// asking shares questions about a back end.
	asking singleflight.Group
}

// NewClient returns a Client.
func NewClient(options ClientOptions) *Client { return &Client{options: options} }

// Send makes one attempt to send a request through another daemon. Its errors are of type *relay.SendError; with
// outcome.Unreached the request was surely not sent by anyone.
func (c *Client) Send(ctx context.Context, dispatch *relay.Dispatch) (*relay.Answer, error) {
	failed := &relay.SendError{Evidence: outcome.Unreached, Cause: errNoHelper}
	body, err := codec.Marshal(messageOf(dispatch))
	if err != nil {
		return nil, &relay.SendError{Evidence: outcome.Unreached, Cause: err}
	}
	account := dispatch.Request.Account
	if err := account.Reserve(clock.Now(), int64(len(body))); err != nil {
		return nil, &relay.SendError{Evidence: outcome.Unreached, Cause: err}
	}
	defer account.Release(int64(len(body)))
	tried := map[string]bool{}
	for range maxHelpers {
		address := c.acquire(ctx, dispatch, tried)
		if address == "" {
			break
		}
		tried[address] = true
		answer, err := c.sendThrough(ctx, address, dispatch, body)
		if err == nil {
			return answer, nil
		}
		failed = err
		if err.Evidence != outcome.Unreached || ctx.Err() != nil || errors.Is(err, relay.ErrRestarted) {
			break
		}
	}
	return nil, failed
}

// acquire returns the daemon to send through, and asks others if none is known to reach the back end.
func (c *Client) acquire(ctx context.Context, dispatch *relay.Dispatch, tried map[string]bool) string {
	backend := rendezvous.Key(string(dispatch.Backend))
	if address := c.helpers().acquire(clock.Now(), backend, tried, c.options.Distance); address != "" {
		return address
	}
	_, _, _ = c.asking.Do(string(dispatch.Backend), func() (any, error) {
		c.options.Inquiry.Ask(context.WithoutCancel(ctx), dispatch.Backend)
		return nil, nil
	})
	return c.helpers().acquire(clock.Now(), backend, tried, c.options.Distance)
}

func (c *Client) helpers() *helpers { return c.options.Inquiry.helpers }

// sendThrough sends a request through the daemon at an address.
func (c *Client) sendThrough(ctx context.Context, address string, dispatch *relay.Dispatch, body []byte) (*relay.Answer, *relay.SendError) {
	release := func(ended end) {
		c.helpers().release(clock.Now(), address, rendezvous.Key(string(dispatch.Backend)), ended)
	}
	fail := func(evidence outcome.Evidence, cause error) *relay.SendError {
		release(endFailed)
		return &relay.SendError{Evidence: evidence, Via: address, Cause: cause}
	}
	answer, err := c.exchange(ctx, address, dispatch, body)
	switch {
	case err != nil && ctx.Err() != nil:
		release(endForwarded)
		return nil, &relay.SendError{Evidence: evidenceOf(err), Via: address, Cause: err}
	case err != nil && evidenceOf(err) == outcome.Unreached:
		return nil, fail(outcome.Unreached, err)
	case err != nil:
		loseLink(ctx, dispatch)
		return nil, fail(outcome.Sent, err)
	case answer.Status != http.StatusOK:
		answer.Close()
		return nil, fail(outcome.Unreached, &RefusedError{Address: address, Status: answer.Status})
	}
	received, err := readHead(answer)
	if err != nil {
		answer.Close()
		loseLink(ctx, dispatch)
		return nil, fail(outcome.Sent, err)
	}
	if received.Failed {
		answer.Close()
		if cause := notSentCause(answer.Header); cause != nil {
			release(endForwarded)
			return nil, &relay.SendError{Evidence: received.Evidence, Via: address, Cause: cause}
		}
		release(received.end())
		return nil, &relay.SendError{Evidence: received.Evidence, Via: address, Cause: received.cause(answer.Header)}
	}
	read := received.answer()
	read.Via, read.Incarnation = address, incarnationOf(answer.Header)
	read.Body = &forwardedBody{
		answer: answer, release: sync.OnceFunc(func() { release(endForwarded) }), lose: func() { loseLink(ctx, dispatch) },
	}
	return read, nil
}

// end returns how a request without an answer ended.
func (h *head) end() end {
	if h.Evidence == outcome.Unreached {
		return endUnreached
	}
	return endForwarded
}

// evidenceOf returns what may have become of a request whose exchange with another daemon failed.
func evidenceOf(err error) outcome.Evidence {
	var exchanged *httpexchange.Error
	if errors.As(err, &exchanged) && exchanged.Stage == httpexchange.StageUnreached {
		return outcome.Unreached
	}
	return outcome.Sent
}

// exchange makes the HTTP exchange with a daemon, which must accept the connection within connectTimeout.
func (c *Client) exchange(ctx context.Context, address string, dispatch *relay.Dispatch, body []byte) (*httpexchange.Answer, error) {
	bounded, cancel := context.WithCancelCause(ctx)
	connecting := time.AfterFunc(connectTimeout, func() { cancel(errConnectTimeout) })
	defer connecting.Stop()
	return c.options.Pool.Do(bounded, address, &httpexchange.Request{
		Method: http.MethodPost, Target: Path, Host: address, Header: confirmationHeader(dispatch), Body: body,
		Stands: func() error {
			if !connecting.Stop() {
				return errConnectTimeout
			}
			if dispatch.CheckAccepting == nil {
				return nil
			}
			return dispatch.CheckAccepting()
		},
	})
}

// loseLink reports that the connection to a daemon was lost with a request in flight, unless it was the request that ended.
func loseLink(ctx context.Context, dispatch *relay.Dispatch) {
	if ctx.Err() == nil && dispatch.OnLinkLost != nil {
		dispatch.OnLinkLost()
	}
}

// forwardedBody is the body of an answer that comes through another daemon.
type forwardedBody struct {
	answer        *httpexchange.Answer
	release, lose func()
}

// Read implements io.Reader.
func (b *forwardedBody) Read(into []byte) (int, error) {
	count, err := b.answer.Read(into)
	if err != nil && err != io.EOF {
		b.lose()
	}
	return count, err
}

// Close implements io.Closer.
func (b *forwardedBody) Close() error {
	b.answer.Close()
	b.release()
	return nil
}
