package httpexchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/lotusward/lotusward/internal/core/outcome"
)

// awaitOwn reads answers until one belongs to the request.
func (c *connection) awaitOwn(message *http.Request, belongs func(http.Header) bool) (*http.Response, error) {
	for range maximumStaleAnswers + 1 {
		response, err := c.readFinal(message)
		if err != nil {
			return nil, err
		}
		if belongs == nil || belongs(response.Header) {
			return response, nil
		}
		if response.Close || !delimited(response) {
			return nil, ErrStaleAnswers
		}
		if _, err := io.CopyN(io.Discard, response.Body, maximumStaleBytes); !errors.Is(err, io.EOF) {
			return nil, ErrStaleAnswers
		}
	}
	return nil, ErrStaleAnswers
}

// readFinal reads the head of the next answer that is not an interim one.
func (c *connection) readFinal(message *http.Request) (*http.Response, error) {
	c.heads.start(c.reader.Buffered())
	defer c.heads.stop()
	for {
		response, err := c.readHead(message)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, outcome.NewMalformedError(partStatus, response.Status) // no change of protocol was asked for
		}
	}
}

// readHead reads one head. It fails with *outcome.MalformedError if the peer sent something else.
func (c *connection) readHead(message *http.Request) (*http.Response, error) {
	if err := c.copyEarlierHead(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, message)
	copied := c.heads.takeCopy()
	switch {
	case err != nil && c.heads.failed == nil:
		return nil, outcome.NewMalformedError(partHead, err.Error())
	case err != nil:
		return nil, c.heads.cause()
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	return response, checkCoding(response, copied)
}

// copyEarlierHead waits for the first bytes of a head and has it copied unless they exclude HTTP/1.0.
func (c *connection) copyEarlierHead() error {
	if _, err := c.reader.Peek(1); err != nil {
		return c.heads.cause()
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if bytes.HasPrefix([]byte(earlierVersion), buffered[:min(len(buffered), len(earlierVersion))]) {
		c.heads.copied = bytes.NewBuffer(bytes.Clone(buffered))
	}
	return err
}

// delimited tells whether the answer's end can be seen without the connection's.
func delimited(response *http.Response) bool {
	if response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}
