package revision

import (
	"encoding/json"
	"fmt"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// The rows of the table service that hold the configuration. Change rows are
// never deleted: they are the audit record too.
const (
	// KeyHead holds a Head. Every commit rewrites it, so its row version orders
	// the commits.
	KeyHead = "configuration/head"
	// KeySnapshot holds a snapshot of a document that is small enough for a row.
	KeySnapshot = "configuration/snapshot"
	// PrefixChange starts the keys of the change rows, in the order of revisions.
	PrefixChange = "configuration/change/"
	// PrefixChangeID starts the keys of the rows that tell a change ID's revision.
	PrefixChangeID = "configuration/change-id/"
)

// The objects of the object store that hold the configuration.
const (
	// ObjectMirror holds a copy of a recent document.
	ObjectMirror = "configuration/mirror"
	// PrefixChangeObject starts the keys of changes too large for a row.
	PrefixChangeObject = "configuration/change/"
)

const (
	// MaxRowBytes bounds the value of one row; larger values go to the object store.
	MaxRowBytes = 128 << 10
	// SnapshotInterval is after how many revisions the snapshot row is rewritten.
	SnapshotInterval = 100
)

// ChangeKey is the key of the change row of a revision.
func ChangeKey(revision identity.Revision) string {
	return fmt.Sprintf("%s%016d", PrefixChange, uint64(revision))
}

// ChangeIDKey is the key of the row that tells the revision of a change ID.
func ChangeIDKey(id string) string { return PrefixChangeID + id }

// ChangeRow is the value of a change row.
type ChangeRow struct {
	Revision identity.Revision `json:"revision"`
	Digest   dynamic.Digest    `json:"digest"`
	dynamic.Change
	// Object, when set, is the key of the object that holds the whole change in
	// the form of dynamic.EncodeChange; the row's operation is then empty.
	Object string `json:"object,omitempty"`
}

// Entry is the log entry of a row that needs no object.
func (r ChangeRow) Entry() Entry {
	return Entry{Revision: r.Revision, Digest: r.Digest, Change: r.Change}
}

// changeIDRow is the value of a change-ID row.
type changeIDRow struct {
	Revision identity.Revision `json:"revision"`
}

// Snapshot is a whole document with its sum, as rows, objects and peers carry it.
type Snapshot struct {
	Head Head `json:"head" msgpack:"head"`
	// Document is in the form of dynamic.EncodeDocument.
	Document []byte `json:"document" msgpack:"document"`
}

// NewSnapshot encodes a document.
func NewSnapshot(head Head, document *dynamic.Document) (Snapshot, error) {
	encoded, err := dynamic.EncodeDocument(document)
	return Snapshot{Head: head, Document: encoded}, err
}

// Open decodes the document. It fails when the document isn't what the head says.
func (s Snapshot) Open() (*dynamic.Document, error) {
	document, err := dynamic.DecodeDocument(s.Document)
	if err != nil {
		return nil, err
	}
	digest, err := dynamic.DigestOf(document)
	if err != nil {
		return nil, err
	}
	if document.Revision != s.Head.Revision || digest != s.Head.Digest {
		return nil, &DivergedError{Revision: s.Head.Revision, Expected: s.Head.Digest, Found: digest}
	}
	return document, nil
}

// Position is where the table stands, read at one moment.
type Position struct {
	Head Head
	// HeadVersion is the row version of the head; zero when nothing was committed.
	HeadVersion uint64
	// Snapshot is nil when there is no snapshot row, or when it wasn't read.
	Snapshot *Snapshot
	// Accepted is the revision of the change ID that was read along, or nil.
	Accepted *identity.Revision
}

// ReadPosition reads a position from the rows of KeyHead, KeySnapshot and a
// change-ID row, as far as they are there.
func ReadPosition(rows []platformwire.Row) (Position, error) {
	var position Position
	for _, row := range rows {
		if err := position.take(row); err != nil {
			return Position{}, fmt.Errorf("row %s: %w", row.Key, err)
		}
	}
	return position, nil
}

func (p *Position) take(row platformwire.Row) error {
	switch row.Key {
	case KeyHead:
		p.HeadVersion = row.Version
		return json.Unmarshal(row.Value, &p.Head)
	case KeySnapshot:
		p.Snapshot = &Snapshot{}
		return json.Unmarshal(row.Value, p.Snapshot)
	default:
		var accepted changeIDRow
		if err := json.Unmarshal(row.Value, &accepted); err != nil {
			return err
		}
		p.Accepted = &accepted.Revision
		return nil
	}
}

// ReadChangeRow reads the value of a change row.
func ReadChangeRow(row platformwire.Row) (ChangeRow, error) {
	var change ChangeRow
	if err := json.Unmarshal(row.Value, &change); err != nil {
		return ChangeRow{}, fmt.Errorf("row %s: %w", row.Key, err)
	}
	if row.Key != ChangeKey(change.Revision) {
		return ChangeRow{}, fmt.Errorf("row %s holds revision %d", row.Key, change.Revision)
	}
	return change, nil
}
