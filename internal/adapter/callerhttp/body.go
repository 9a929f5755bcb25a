package callerhttp

import (
	"bytes"
	"errors"
	"mime"
	"net/http"
	"os"
	"time"
)

// readBody reads the whole request body within the limits of size and time. Only
// then is the request scheduled, so that a slow caller holds no back end.
func (e *exchange) readBody() ([]byte, *failure) {
	limits := e.handler.options.Limits
	if e.request.ContentLength == 0 {
		return nil, nil
	}
	if e.request.ContentLength > limits.MaxBodyBytes {
		return nil, bodyTooLarge(limits.MaxBodyBytes)
	}
	control := http.NewResponseController(e.writer)
	// The deadline is the connection's; without one (in tests) only the size counts.
	_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	var body bytes.Buffer
	if e.request.ContentLength > 0 {
		body.Grow(int(e.request.ContentLength) + bytes.MinRead)
	}
	_, err := body.ReadFrom(http.MaxBytesReader(e.writer, e.request.Body, limits.MaxBodyBytes))
	if err != nil {
		return nil, bodyFailure(err, limits)
	}
	_ = control.SetReadDeadline(time.Time{})
	e.bodyRead = true
	return body.Bytes(), nil
}

func bodyTooLarge(maxBytes int64) *failure {
	return invalid(codeBodyTooLarge, "", "the body is larger than %d bytes", maxBytes).
		withStatus(http.StatusRequestEntityTooLarge)
}

func bodyFailure(err error, limits Limits) *failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(limits.MaxBodyBytes)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return invalid(codeBodyTimeout, "", "the body took longer than %s", limits.BodyTimeout).
			withStatus(http.StatusRequestTimeout)
	}
	return invalid(codeInvalidJSON, "", "the body cannot be read: %v", err)
}

// checkJSON refuses a body of another content type than JSON.
func (e *exchange) checkJSON() *failure {
	contentType := e.request.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil || mediaType != "application/json" {
		return invalid(codeContentType, "", "the content type %q is not application/json", contentType).
			withStatus(http.StatusUnsupportedMediaType)
	}
	return nil
}
