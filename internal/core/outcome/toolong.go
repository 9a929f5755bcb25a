package outcome

import "fmt"

// TooLongError means that a part of a backend's answer exceeded a limit. The daemon stops reading the answer there and closes its
// connection: what is longer is no answer, and may have no end.
type TooLongError struct {
	// Part names the part of the answer.
	Part string
	// Limit is the most bytes that the part may have.
	Limit int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("the %s is longer than %d bytes", e.Part, e.Limit)
}
