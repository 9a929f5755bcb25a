package revision

import (
	"bytes"
	"encoding/json"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// Object is a value for the object store.
type Object struct {
	Key  string
	Body []byte
}

// Plan is a commit that would make a change the next revision.
type Plan struct {
	Transaction platformwire.Transaction
	// Object, when not nil, must be in the object store before the commit.
	Object   *Object
	Entry    Entry
	Document *dynamic.Document
}

// PlanCommit plans the commit of a change on top of a position. The document
// must be the one at the position. It fails with *BehindError when it isn't,
// with *dynamic.ConflictError when the change's base is out of date, and with
// *finding.Error when the change or the document that it leads to isn't valid.
//
// The transaction holds only while the head is as it was read and the change ID
// is unused. So it applies a change at most once, however often it is sent and
// however late it arrives.
func PlanCommit(position Position, document *dynamic.Document, change dynamic.Change) (Plan, error) {
	if document.Revision != position.Head.Revision {
		return Plan{}, &BehindError{Document: document.Revision, Head: position.Head.Revision}
	}
	next, err := dynamic.Apply(document, change)
	if err != nil {
		return Plan{}, err
	}
	if err := dynamic.Validate(next); err != nil {
		return Plan{}, err
	}
	digest, err := dynamic.DigestOf(next)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		Entry:    Entry{Revision: next.Revision, Digest: digest, Change: change},
		Document: next,
	}
	plan.Transaction.Conditions = []platformwire.Condition{
		{Key: KeyHead, Version: position.HeadVersion},
		{Key: ChangeIDKey(change.ID), Version: 0},
	}
	return plan, plan.addWrites()
}

// Head is the head that the plan leads to.
func (p *Plan) Head() Head {
	return Head{Revision: p.Entry.Revision, Digest: p.Entry.Digest, ChangeID: p.Entry.Change.ID}
}

func (p *Plan) addWrites() error {
	if err := p.write(KeyHead, p.Head()); err != nil {
		return err
	}
	if err := p.write(ChangeIDKey(p.Entry.Change.ID), changeIDRow{Revision: p.Entry.Revision}); err != nil {
		return err
	}
	if err := p.addChange(); err != nil {
		return err
	}
	return p.addSnapshot()
}

func (p *Plan) write(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.Transaction.Writes = append(p.Transaction.Writes, platformwire.Write{Key: key, Value: encoded})
	return nil
}

// addChange writes the change row. A change that is too large for a row goes to
// the object store under its ID and digest, where nothing else is ever written.
func (p *Plan) addChange() error {
	row := ChangeRow{Revision: p.Entry.Revision, Digest: p.Entry.Digest, Change: p.Entry.Change}
	encoded, err := json.Marshal(row)
	if err != nil {
		return err
	}
	if len(encoded) > MaxRowBytes {
		body, err := dynamic.EncodeChange(p.Entry.Change)
		if err != nil {
			return err
		}
		row.Object = PrefixChangeObject + row.ID + "/" + string(row.Digest)
		row.Operation = dynamic.Operation{}
		p.Object = &Object{Key: row.Object, Body: body}
	}
	return p.write(ChangeKey(row.Revision), row)
}

// addSnapshot rewrites the snapshot row now and then. A document too large for a
// row is kept in the object store's mirror alone.
func (p *Plan) addSnapshot() error {
	if p.Entry.Revision%SnapshotInterval != 0 {
		return nil
	}
	snapshot, err := NewSnapshot(p.Head(), p.Document)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(snapshot)
	if err != nil || len(encoded) > MaxRowBytes {
		return err
	}
	p.Transaction.Writes = append(p.Transaction.Writes, platformwire.Write{Key: KeySnapshot, Value: encoded})
	return nil
}

// SameChange tells whether a proposed change is the accepted change with the
// same ID, rather than another one that reuses the ID. The time and operator of
// a repeated proposal may differ.
func SameChange(accepted, proposed dynamic.Change) bool {
	left, leftErr := dynamic.EncodeChange(dynamic.Change{Base: accepted.Base, Operation: accepted.Operation})
	right, rightErr := dynamic.EncodeChange(dynamic.Change{Base: proposed.Base, Operation: proposed.Operation})
	return leftErr == nil && rightErr == nil && bytes.Equal(left, right)
}
