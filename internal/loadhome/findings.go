package loadhome

import (
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// findingMessage carries findings about back ends.
type findingMessage struct{ Findings []compactFinding }

// compactFinding is the wire form of a backendpool.Finding.
type compactFinding struct {
	Key uint64
	// Found is a bit set of the flags below.
	Found uint8
}

const (
	flagUnreached uint8 = 1 << iota
	flagDraining
	flagRefusing
)

func newCompactFinding(finding backendpool.Finding) compactFinding {
	sent := compactFinding{Key: finding.Key}
	if finding.Unreached {
		sent.Found |= flagUnreached
	}
	if finding.Draining {
		sent.Found |= flagDraining
	}
	if finding.Refusing {
		sent.Found |= flagRefusing
	}
	return sent
}

func (c compactFinding) decode() backendpool.Finding {
	return backendpool.Finding{
		Key: c.Key, Unreached: c.Found&flagUnreached != 0, Draining: c.Found&flagDraining != 0, Refusing: c.Found&flagRefusing != 0,
	}
}

// sendFindings sends this daemon's findings to the homes of the back ends they concern.
func (h *Homes) sendFindings(findings []backendpool.Finding) {
	if !h.Needed() {
		return
	}
	byHome := map[string][]compactFinding{}
	for _, finding := range findings {
		for _, home := range h.homes(finding.Key) {
			if home != h.self { // its own findings are in its pool already
				byHome[home] = append(byHome[home], newCompactFinding(finding))
			}
		}
	}
	for home, sent := range byHome {
		peerlink.Tell(h.options.Link, home, peerlink.KindFindingNote, &findingMessage{Findings: sent})
	}
}

// receiveFindings applies the findings of another daemon.
func (h *Homes) receiveFindings(_ string, got findingMessage) {
	now := clock.Now()
	for _, sent := range got.Findings {
		h.options.Pool.ReceiveFinding(now, sent.decode())
	}
}

// sendKnownFindings sends a daemon that queries loads the findings known for the same back ends. It precedes the
// answer, so that the findings arrive before the requester stops waiting.
func (h *Homes) sendKnownFindings(now time.Time, to string, keys []uint64) {
	var known []compactFinding
	for _, key := range keys {
		if finding := h.options.Pool.FindingOf(now, key); !finding.IsEmpty() {
			known = append(known, newCompactFinding(finding))
		}
	}
	if len(known) > 0 {
		peerlink.Tell(h.options.Link, to, peerlink.KindFindingKnown, &findingMessage{Findings: known})
	}
}

// receiveKnownFindings applies the findings that a home sent along with its answer.
func (h *Homes) receiveKnownFindings(_ string, got findingMessage) {
	known := make([]backendpool.Finding, len(got.Findings))
	for index, sent := range got.Findings {
		known[index] = sent.decode()
	}
	h.options.Pool.ReceiveHomeFindings(clock.Now(), known)
}
