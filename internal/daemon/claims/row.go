package claims

import (
	"encoding/hex"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/claim"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Prefixes of the table keys.
const (
	// outcomePrefix is for outcomes of claims by votes.
	outcomePrefix = "claims/outcomes/"
	// claimPrefix is for claims on keys of unknown birth.
	claimPrefix = "claims/keys/"
)

// outcomeKey has the day of the key's birth in it, so that the rows of old days
// can be found and deleted.
func outcomeKey(claimed grant) string {
	day := time.UnixMicro(int64(claimed.born)).UTC().Format("20060102")
	return outcomePrefix + day + "/" + hex.EncodeToString(claimed.key[:])
}

func claimKey(key claim.Key) string { return claimPrefix + hex.EncodeToString(key[:]) }

// rowState is what a row says about its key.
type rowState string

// The states of a row. A freed row stays, since a deleted row's versions would
// start again, and an old conditional write could then take effect.
const (
	rowRunning rowState = "running"
	rowFree    rowState = "free"
	rowUnknown rowState = "unknown"
	rowRan     rowState = "ran"
)

// row is the value of a table row.
type row struct {
	Claimant claim.Claimant `msgpack:"claimant"`
	State    rowState       `msgpack:"state"`
}

// encode cannot fail: a row has only plain fields.
func (r row) encode() []byte {
	value, err := msgpack.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// decodeRow reads a row. One that cannot be read counts as unknown.
func decodeRow(value []byte) row {
	var decoded row
	if err := msgpack.Unmarshal(value, &decoded); err != nil {
		return row{State: rowUnknown}
	}
	return decoded
}

func rowStateOf(state identity.RunState) rowState {
	switch state {
	case identity.RunStateNotRun:
		return rowFree
	case identity.RunStateRan:
		return rowRan
	default:
		return rowUnknown
	}
}
