package httpexchange

import (
	"net/http"
	"strconv"

	"github.com/lotusward/lotusward/internal/core/outcome"
)

// Status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Parts of answers that errors name.
const (
	partHead   = "head"
	partStatus = "status code"
)

// checkHead returns *outcome.MalformedError for what net/http reads as the head of an answer and HTTP/1.1 does not permit.
func checkHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return outcome.NewMalformedError(partStatus, strconv.Itoa(response.StatusCode))
	}
	return nil
}
