package loadhome

import (
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// findingMessage tells what was found out of back ends.
type findingMessage struct{ Findings []compactFinding }

// compactFinding is a backendpool.Finding as it is sent.
type compactFinding struct {
	Key uint64
	// Found is a sum of the bits below.
	Found uint8
}

const (
	foundUnreached uint8 = 1 << iota
	foundDraining
	foundRefusing
)

func compact(finding backendpool.Finding) compactFinding {
	sent := compactFinding{Key: finding.Key}
	if finding.Unreached {
		sent.Found |= foundUnreached
	}
	if finding.Draining {
		sent.Found |= foundDraining
	}
	if finding.Refusing {
		sent.Found |= foundRefusing
	}
	return sent
}

func (c compactFinding) finding() backendpool.Finding {
	return backendpool.Finding{
		Key: c.Key, Unreached: c.Found&foundUnreached != 0, Draining: c.Found&foundDraining != 0, Refusing: c.Found&foundRefusing != 0,
	}
}

// noteFindings tells homes what this daemon has found out of their back ends.
func (h *Homes) noteFindings(findings []backendpool.Finding) {
	if !h.Needed() {
		return
	}
	byHome := map[string][]compactFinding{}
	for _, finding := range findings {
		for _, home := range h.homes(finding.Key) {
			if home != h.self { // which knows already
				byHome[home] = append(byHome[home], compact(finding))
			}
		}
	}
	for home, noted := range byHome {
		peerlink.Tell(h.options.Link, home, peerlink.KindFindingNote, &findingMessage{Findings: noted})
	}
}

// hearFindings takes in what another daemon has found out.
func (h *Homes) hearFindings(_ string, got findingMessage) {
	now := clock.Now()
	for _, sent := range got.Findings {
		h.options.Pool.ReceiveFinding(now, sent.finding())
	}
}

// tellKnown tells a daemon that asks for loads what is known of the back ends. It goes before the answer, which the asker
// waits for.
func (h *Homes) tellKnown(now time.Time, to string, keys []uint64) {
	var known []compactFinding
	for _, key := range keys {
		if finding := h.options.Pool.FindingOf(now, key); !finding.IsEmpty() {
			known = append(known, compact(finding))
		}
	}
	if len(known) > 0 {
		peerlink.Tell(h.options.Link, to, peerlink.KindFindingKnown, &findingMessage{Findings: known})
	}
}

// hearKnown takes in what a home knows.
func (h *Homes) hearKnown(_ string, got findingMessage) {
	known := make([]backendpool.Finding, len(got.Findings))
	for index, sent := range got.Findings {
		known[index] = sent.finding()
	}
	h.options.Pool.ReceiveHomeFindings(clock.Now(), known)
}
