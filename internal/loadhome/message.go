package loadhome

import "github.com/lotusward/lotusward/internal/loadshare"

// noteMessage reports the loads of the sender to a home. An empty load withdraws an earlier report.
type noteMessage struct{ Loads []loadshare.CompactLoad }

// questionMessage asks a home for the total load of all daemons except the sender.
type questionMessage struct {
	Number uint64
	// Keys are the hashes of the back ends' IDs.
	Keys []uint64
}

// answerMessage is the answer to a questionMessage.
type answerMessage struct {
	Number uint64
	Loads  []loadshare.CompactLoad
}
