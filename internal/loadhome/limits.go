package loadhome

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// limitPeersAsked is how many other daemons a starting daemon asks for the limits in force. It asks at most
	// maxLimitQuestions times without an answer, since daemons of earlier builds never answer.
	limitPeersAsked   = 3
	maxLimitQuestions = 5
	// limitsPerDatagram is how many limits fit into a datagram.
	limitsPerDatagram = 128
)

// limitsQuestion requests all limits in force.
type limitsQuestion struct{}

// limitMessage carries request limits announced by back ends.
type limitMessage struct{ Limits []compactLimit }

// compactLimit is the wire form of a backendpool.BackendLimit.
type compactLimit struct {
	Key, Version uint64
	InForce      bool
	PerSecond    float64
}

func (c compactLimit) decode() backendpool.BackendLimit {
	return backendpool.BackendLimit{
		Key: c.Key, Limit: backendpool.RequestLimit{Version: c.Version, InForce: c.InForce, PerSecond: c.PerSecond},
	}
}

func compactLimits(limits []backendpool.BackendLimit) *limitMessage {
	message := &limitMessage{}
	for _, each := range limits {
		message.Limits = append(message.Limits, compactLimit{
			Key: each.Key, Version: each.Limit.Version, InForce: each.Limit.InForce, PerSecond: each.Limit.PerSecond,
		})
	}
	return message
}

// LimitHomes returns the homes of a back end, which are the daemons that grant parts of its request limit.
func (h *Homes) LimitHomes(id identity.BackendID) []string {
	return h.homes(rendezvous.Key(string(id)))
}

// sendLimitChanges sends limits that this daemon received from back ends. In a small fleet they go to all other
// daemons, otherwise to the homes, which pass them on with their answers to load questions.
func (h *Homes) sendLimitChanges(changes []backendpool.BackendLimit) {
	byDaemon := map[string][]backendpool.BackendLimit{}
	for _, each := range changes {
		for _, daemon := range h.limitRecipients(each.Key) {
			if daemon != h.self {
				byDaemon[daemon] = append(byDaemon[daemon], each)
			}
		}
	}
	for daemon, limits := range byDaemon {
		h.sendLimits(daemon, limits)
	}
}

// limitRecipients returns the daemons to which changes of a back end's limit are sent.
func (h *Homes) limitRecipients(key uint64) []string {
	if h.Needed() {
		return h.homes(key)
	}
	return h.options.Others()
}

// sendKnownLimits sends a daemon that queries loads the limits known for the same back ends. It precedes the
// answer, so that the limits arrive before the requester stops waiting.
func (h *Homes) sendKnownLimits(now time.Time, to string, keys []uint64) {
	if known := h.options.Pool.KnownLimits(now, keys); len(known) > 0 {
		h.sendLimits(to, known)
	}
}

// NotifyBackendsListed signals that the list of back ends was received. A starting daemon then asks others for the
// limits in force.
func (h *Homes) NotifyBackendsListed() {
	select {
	case h.listed <- struct{}{}:
	default:
	}
}

// requestLimits asks some other daemons for the limits in force, unless any limits were received already.
func (h *Homes) requestLimits() {
	others := h.options.Others()
	if h.limitsReceived.Load() || h.limitQuestionsLeft == 0 || len(others) == 0 {
		return
	}
	h.limitQuestionsLeft--
	for _, index := range rand.Perm(len(others))[:min(limitPeersAsked, len(others))] {
		peerlink.Tell(h.options.Link, others[index], peerlink.KindRequestLimitsQuestion, &limitsQuestion{})
	}
}

// receiveLimitsQuestion answers a starting daemon with the limits in force.
func (h *Homes) receiveLimitsQuestion(from string, _ limitsQuestion) {
	h.sendLimits(from, h.options.Pool.LimitsInForce(clock.Now()))
}

// sendLimits sends limits to a daemon in as many datagrams as needed. An empty message states that there are none.
func (h *Homes) sendLimits(to string, limits []backendpool.BackendLimit) {
	for len(limits) > limitsPerDatagram {
		peerlink.Tell(h.options.Link, to, peerlink.KindRequestLimits, compactLimits(limits[:limitsPerDatagram]))
		limits = limits[limitsPerDatagram:]
	}
	peerlink.Tell(h.options.Link, to, peerlink.KindRequestLimits, compactLimits(limits))
}

// receiveLimits applies limits known to another daemon.
func (h *Homes) receiveLimits(from string, got limitMessage) {
	h.limitsReceived.Store(true)
	limits := make([]backendpool.BackendLimit, len(got.Limits))
	for index, sent := range got.Limits {
		limits[index] = sent.decode()
	}
	for _, id := range h.options.Pool.ReceiveLimits(clock.Now(), limits) {
		limit := h.options.Pool.RequestLimit(id)
		h.options.Log.WithFields(logrus.Fields{
			"backend": id.Name(), "from": from, "in_force": limit.InForce, "limit_per_second": limit.PerSecond, "limit_version": limit.Version,
		}).Info("Another daemon tells of a back end's limit of requests.")
	}
}
