package callerhttp

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Headers that callers may send.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerPriorityClass  = "X-Priority-Class"
	// headerNotRepeatable is "true" for a request that must run at most once.
	headerNotRepeatable = "X-Not-Repeatable"
	// headerTimeout is the time to the first token or to the page's first byte.
	headerTimeout = "X-Request-Timeout-Ms"
)

// maxIdempotencyKeyBytes limits an idempotency key.
const maxIdempotencyKeyBytes = 255

// uuidVersionWithTime is the UUID version that starts with its birth time.
const uuidVersionWithTime = 7

// callOptions are what a caller asks for in headers.
type callOptions struct {
	Class         identity.PriorityClass
	NotRepeatable bool
	// Deadline is when the caller wants the first token at the latest.
	Deadline       time.Time
	IdempotencyKey string
	// KeyBorn is when the key was made, or zero when it does not say.
	KeyBorn time.Time
}

// readOptions reads the headers. Class is used when the caller names none.
func (e *exchange) readOptions(class identity.PriorityClass) (callOptions, *failure) {
	header := e.request.Header
	options := callOptions{Class: class}
	if name := header.Get(headerPriorityClass); name != "" {
		parsed, known := identity.ParsePriorityClass(name)
		if !known {
			return options, invalid(codeInvalidValue, headerPriorityClass, "the priority class %q is unknown", name)
		}
		options.Class = parsed
	}
	switch value := header.Get(headerNotRepeatable); value {
	case "", "false":
	case "true":
		options.NotRepeatable = true
	default:
		return options, invalid(codeInvalidValue, headerNotRepeatable, "the value %q is neither true nor false", value)
	}
	timeout, failed := readTimeout(header, e.handler.options.Limits)
	if failed != nil {
		return options, failed
	}
	options.Deadline = e.arrived.Add(timeout)
	return options, options.readKey(header)
}

func readTimeout(header http.Header, limits Limits) (time.Duration, *failure) {
	text := header.Get(headerTimeout)
	if text == "" {
		return limits.FirstTokenTimeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds < 1 {
		return 0, invalid(codeInvalidValue, headerTimeout, "the timeout %q is not a number of milliseconds", text)
	}
	return min(time.Duration(milliseconds)*time.Millisecond, limits.MaxFirstTokenTimeout), nil
}

func (o *callOptions) readKey(header http.Header) *failure {
	key := header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return invalid(codeInvalidIdempotency, headerIdempotencyKey,
			"the idempotency key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	o.IdempotencyKey = key
	o.KeyBorn = bornOf(key)
	return nil
}

// bornOf reads the time out of a UUIDv7 key; it is zero for any other key.
func bornOf(key string) time.Time {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != uuidVersionWithTime {
		return time.Time{}
	}
	return time.Unix(parsed.Time().UnixTime()).UTC()
}
