package outcome

import "fmt"

// maxDetailBytes bounds what is kept of a malformed part.
const maxDetailBytes = 120

// MalformedError means that what a backend sent forms no HTTP answer. The request was sent and may have been executed. The daemon
// closes the connection.
type MalformedError struct {
	// Part names the part of the answer.
	Part string
	// Detail is the beginning of the part, or says what is wrong with it.
	Detail string
}

// NewMalformedError returns a MalformedError with at most maxDetailBytes of a detail.
func NewMalformedError(part, detail string) *MalformedError {
	return &MalformedError{Part: part, Detail: detail[:min(len(detail), maxDetailBytes)]}
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the answer has a malformed %s: %q", e.Part, e.Detail)
}
