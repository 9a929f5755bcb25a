package enginehttp

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders removes the headers that belong to one connection, with those
// that the Connection header names.
func RemoveHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// Page implements port.Engines.
func (c *Client) Page(ctx context.Context, page port.PageCall) (*port.PageAnswer, error) {
	header := page.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	RemoveHopHeaders(header)
	targetHeader(header, page.Target)
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.roundTrip(ctx, call{
		method: page.Method, address: page.Address, uri: page.URI, header: header, body: page.Body,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	err = checkEcho(response.Header, page.Target)
	if err == nil && response.Header.Get(enginewire.HeaderRunState) != "" {
		err = c.readRefusal(response)
	}
	if err != nil {
		cancel()
		closeBody(response)
		return nil, err
	}
	RemoveHopHeaders(response.Header)
	return &port.PageAnswer{
		AnswerHead: readHead(response.Header),
		Status:     response.StatusCode,
		Header:     response.Header,
		Body:       &cancelBody{ReadCloser: response.Body, cancel: cancel},
	}, nil
}

// cancelBody ends its request's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
