package revision

import (
	"fmt"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// DivergedError says that a document isn't the one that its revision should be.
type DivergedError struct {
	Revision identity.Revision
	Expected dynamic.Digest
	Found    dynamic.Digest
}

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("document of revision %d has digest %s, expected %s", e.Revision, e.Found, e.Expected)
}

// BehindError says that a commit was planned on a document that isn't the head's.
type BehindError struct {
	Document identity.Revision
	Head     identity.Revision
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("document is at revision %d, the table at %d", e.Document, e.Head)
}

// ReusedIDError says that a change has the ID of another accepted change.
type ReusedIDError struct {
	ID       string
	Revision identity.Revision
}

// Error implements error.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change ID %q was used for another change, accepted as revision %d", e.ID, e.Revision)
}
