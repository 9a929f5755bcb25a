// Package revision decides how the configuration moves from revision to
// revision: what a commit to the table service looks like, which entries of the
// change log a daemon takes, how fresh its knowledge is, and whom it asks and
// tells. It is pure: it does no I/O and reads no clock.
package revision

import (
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Head names the newest revision that somebody knows.
type Head struct {
	Revision identity.Revision `json:"revision" msgpack:"revision"`
	// Digest is the sum of the document at that revision.
	Digest dynamic.Digest `json:"digest" msgpack:"digest"`
	// ChangeID is the change that made the revision.
	ChangeID string `json:"change_id" msgpack:"change_id"`
}

// Entry is one accepted change in the log of changes.
type Entry struct {
	Revision identity.Revision `msgpack:"revision"`
	// Digest is the sum of the document that the change led to.
	Digest dynamic.Digest `msgpack:"digest"`
	Change dynamic.Change `msgpack:"change"`
}
