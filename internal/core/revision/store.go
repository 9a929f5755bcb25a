package revision

import (
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// LogLength bounds the log of recent changes that a daemon keeps for its peers.
// A peer that is further behind gets a snapshot.
const LogLength = 256

// Source says where a daemon got its document from.
type Source string

// The sources of a document.
const (
	SourceNone   Source = "none"
	SourceTable  Source = "table"
	SourcePeer   Source = "peer"
	SourceMirror Source = "mirror"
)

// Store is one daemon's copy of the configuration. Its revision never goes
// down. It is not safe for concurrent use.
type Store struct {
	document *dynamic.Document
	head     Head
	// log holds the entries that led to the document, oldest first, without gaps.
	log         []Entry
	startedAt   time.Time
	confirmedAt time.Time
	source      Source
}

// NewStore makes the empty store of a daemon that starts now.
func NewStore(now time.Time) *Store {
	return &Store{document: &dynamic.Document{}, startedAt: now, source: SourceNone}
}

// Document returns the newest document. It is never nil.
func (s *Store) Document() *dynamic.Document { return s.document }

// Head returns the document's head.
func (s *Store) Head() Head { return s.head }

// Source tells where the document came from.
func (s *Store) Source() Source { return s.source }

// Offer takes entries of the log that follow the document's revision. It skips
// what it has, and stops at a gap. It fails with *DivergedError, and takes no
// more, when an entry doesn't lead to the document that it should.
func (s *Store) Offer(entries []Entry, source Source) error {
	for _, entry := range entries {
		if entry.Revision != s.head.Revision+1 {
			continue
		}
		if err := s.apply(entry); err != nil {
			return err
		}
		s.source = source
	}
	return nil
}

func (s *Store) apply(entry Entry) error {
	// The base was compared when the change was accepted.
	change := entry.Change
	change.Base = nil
	next, err := dynamic.Apply(s.document, change)
	if err != nil {
		return err
	}
	digest, err := dynamic.DigestOf(next)
	if err != nil {
		return err
	}
	if digest != entry.Digest {
		return &DivergedError{Revision: entry.Revision, Expected: entry.Digest, Found: digest}
	}
	s.document = next
	s.head = Head{Revision: entry.Revision, Digest: digest, ChangeID: entry.Change.ID}
	s.remember(entry)
	return nil
}

// remember appends to the log. An import is as large as a snapshot, so the log
// starts anew after it.
func (s *Store) remember(entry Entry) {
	if entry.Change.Operation.Replace != nil {
		s.log = nil
		return
	}
	if len(s.log) >= LogLength {
		s.log = append([]Entry(nil), s.log[LogLength/2:]...)
	}
	s.log = append(s.log, entry)
}

// Install takes a whole document if it is newer than the present one, and tells
// whether it did. It fails when the document isn't what the snapshot says.
func (s *Store) Install(snapshot Snapshot, source Source) (bool, error) {
	if snapshot.Head.Revision <= s.head.Revision {
		return false, nil
	}
	document, err := snapshot.Open()
	if err != nil {
		return false, err
	}
	s.document = document
	s.head = snapshot.Head
	s.log = nil
	s.source = source
	return true, nil
}

// Since returns up to limit entries that follow a revision. The second result
// is false when the log doesn't reach back that far.
func (s *Store) Since(revision identity.Revision, limit int) ([]Entry, bool) {
	if revision >= s.head.Revision {
		return nil, true
	}
	missing := uint64(s.head.Revision - revision)
	if missing > uint64(len(s.log)) {
		return nil, false
	}
	first := len(s.log) - int(missing)
	last := min(len(s.log), first+limit)
	return append([]Entry(nil), s.log[first:last]...), true
}
