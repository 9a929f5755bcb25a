package enginehttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const contentTypeBytes = "application/octet-stream"

// Cancel implements port.Engines.
func (c *Client) Cancel(ctx context.Context, address string, request enginewire.CancelRequest) error {
	_, err := c.postJSON(ctx, address, enginewire.PathCancel, request)
	return err
}

// Order implements port.Engines.
func (c *Client) Order(ctx context.Context, address string, order enginewire.Order) error {
	_, err := c.postJSON(ctx, address, enginewire.PathOrders, order)
	return err
}

// Status implements port.Engines.
func (c *Client) Status(ctx context.Context, address string) (enginewire.Status, error) {
	var status enginewire.Status
	body, err := c.exchange(ctx, call{method: http.MethodGet, address: address, uri: enginewire.PathStatus}, c.options.MaxControlBytes)
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return status, fmt.Errorf("back end status: %w", err)
	}
	return status, nil
}

// ExportKV implements port.Engines.
func (c *Client) ExportKV(ctx context.Context, address string, block prefix.Hash) ([]byte, error) {
	query := url.Values{"block": {block.String()}}
	uri := enginewire.PathKVExport + "?" + query.Encode()
	return c.exchange(ctx, call{method: http.MethodGet, address: address, uri: uri}, c.options.MaxKVBytes)
}

// ImportKV implements port.Engines.
func (c *Client) ImportKV(ctx context.Context, address string, body []byte) error {
	header := http.Header{"Content-Type": {contentTypeBytes}}
	_, err := c.exchange(ctx, call{
		method: http.MethodPost, address: address, uri: enginewire.PathKVImport, header: header, body: body,
	}, c.options.MaxControlBytes)
	return err
}

func (c *Client) postJSON(ctx context.Context, address, path string, value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	header := http.Header{"Content-Type": {contentTypeJSON}}
	return c.exchange(ctx, call{method: http.MethodPost, address: address, uri: path, header: header, body: body}, c.options.MaxControlBytes)
}

// exchange sends a request and reads the whole answer. Any status but 2xx is a
// refusal.
func (c *Client) exchange(ctx context.Context, call call, maxBytes int64) ([]byte, error) {
	response, err := c.roundTrip(ctx, call)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return nil, c.readRefusal(response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, &port.AttemptError{Evidence: outcome.Answered, Unreachable: true, Cause: err}
	}
	if int64(len(body)) > maxBytes {
		return nil, answeredWrong("answer is longer than %d bytes", maxBytes)
	}
	return body, nil
}

// CacheEvents implements port.Engines.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (port.CacheEvents, error) {
	ctx, cancel := context.WithCancel(ctx)
	uri := enginewire.PathCacheEvents + "?from=" + strconv.FormatUint(from, 10)
	response, err := c.roundTrip(ctx, call{method: http.MethodGet, address: address, uri: uri})
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		err := c.readRefusal(response)
		closeBody(response)
		cancel()
		return nil, err
	}
	return &cacheEvents{decoder: msgpack.NewDecoder(response.Body), body: response.Body, cancel: cancel}, nil
}

// cacheEvents implements port.CacheEvents.
type cacheEvents struct {
	decoder *msgpack.Decoder
	body    io.ReadCloser
	cancel  context.CancelFunc
}

// Next implements port.CacheEvents.
func (e *cacheEvents) Next() (enginewire.CacheEventBatch, error) {
	var batch enginewire.CacheEventBatch
	err := e.decoder.Decode(&batch)
	return batch, err
}

// Close implements port.CacheEvents.
func (e *cacheEvents) Close() {
	e.cancel()
	_ = e.body.Close()
}
