package streamorigin

import (
	"fmt"
	"slices"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
)

// archiveFormat is the format of the rows of an Archive.
const archiveFormat = 1

// archiveRow is a row with beginnings of streams. Sequence rises with each row of a daemon's name, over all its starts.
type archiveRow struct {
	Format   int
	Sequence uint64
	// Versions are the software versions that Streams name by their index.
	Versions []identity.SoftwareVersion
	Streams  []archivedStream
}

type archivedStream struct {
	Key     uint64
	Version int
	// Backend is the hash of the ID of the back end that began the stream; zero if that has told its incarnation.
	Backend uint64
}

// add adds the beginning of a stream.
func (a *archiveRow) add(begun beginning) {
	version := identity.SoftwareVersion(begun.Version)
	index := slices.Index(a.Versions, version)
	if index < 0 {
		index = len(a.Versions)
		a.Versions = append(a.Versions, version)
	}
	a.Streams = append(a.Streams, archivedStream{Key: begun.Key, Version: index, Backend: begun.Backend})
}

// decodeArchiveRow decodes a row.
func decodeArchiveRow(value []byte) (archiveRow, error) {
	var stored archiveRow
	if err := codec.Unmarshal(value, &stored); err != nil {
		return archiveRow{}, err
	}
	if stored.Format != archiveFormat {
		return archiveRow{}, fmt.Errorf("format %d is not %d", stored.Format, archiveFormat)
	}
	for index, stream := range stored.Streams {
		if stream.Version < 0 || stream.Version >= len(stored.Versions) {
			return archiveRow{}, fmt.Errorf("stream %d: there is no version %d", index, stream.Version)
		}
	}
	return stored, nil
}

// origins returns the origins of the row's streams.
func (a *archiveRow) origins() map[streamorigin.Key]streamorigin.Origin {
	origins := map[streamorigin.Key]streamorigin.Origin{}
	for _, stream := range a.Streams {
		origins[streamorigin.Key(stream.Key)] = streamorigin.Origin{Version: a.Versions[stream.Version], Backend: stream.Backend}
	}
	return origins
}
