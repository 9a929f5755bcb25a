package loadhome

import "github.com/lotusward/lotusward/internal/loadshare"

// noteMessage tells a home what the sender has under way at back ends. A load of nothing
// ends an earlier one.
type noteMessage struct{ Loads []loadshare.CompactLoad }

// questionMessage asks a home what all daemons but the asking one have under way.
type questionMessage struct {
	Number uint64
	// Keys are the hashes of the back ends' IDs.
	Keys []uint64
}

// answerMessage answers a questionMessage.
type answerMessage struct {
	Number uint64
	Loads  []loadshare.CompactLoad
}
