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
	// limitTellers is how many others a daemon that starts asks for the limits in force, and limitQuestions how often it
	// asks where none answers: daemons of earlier builds don't.
	limitTellers   = 3
	limitQuestions = 5
	// limitsEach is how many limits fit into a datagram.
	limitsEach = 128
)

// limitsQuestion asks for the limits in force.
type limitsQuestion struct{}

// limitMessage tells limits of requests that back ends have named.
type limitMessage struct{ Limits []compactLimit }

// compactLimit is a backendpool.BackendLimit as it is sent.
type compactLimit struct {
	Key, Version uint64
	InForce      bool
	PerSecond    float64
}

func (c compactLimit) told() backendpool.BackendLimit {
	return backendpool.BackendLimit{
		Key: c.Key, Limit: backendpool.RequestLimit{Version: c.Version, InForce: c.InForce, PerSecond: c.PerSecond},
	}
}

func compactLimits(told []backendpool.BackendLimit) *limitMessage {
	message := &limitMessage{}
	for _, each := range told {
		message.Limits = append(message.Limits, compactLimit{
			Key: each.Key, Version: each.Limit.Version, InForce: each.Limit.InForce, PerSecond: each.Limit.PerSecond,
		})
	}
	return message
}

// LimitHomes returns the daemons that grant for the limit of a back end, its homes.
func (h *Homes) LimitHomes(id identity.BackendID) []string {
	return h.homes(rendezvous.Key(string(id)))
}

// noteLimits tells what this daemon has heard of limits: all other daemons where these are few, else the homes, which tell
// those that ask them for loads.
func (h *Homes) noteLimits(told []backendpool.BackendLimit) {
	byDaemon := map[string][]backendpool.BackendLimit{}
	for _, each := range told {
		for _, daemon := range h.toldLimits(each.Key) {
			if daemon != h.self {
				byDaemon[daemon] = append(byDaemon[daemon], each)
			}
		}
	}
	for daemon, limits := range byDaemon {
		h.sendLimits(daemon, limits)
	}
}

// toldLimits are the daemons that are told of a back end's limit.
func (h *Homes) toldLimits(key uint64) []string {
	if h.Needed() {
		return h.homes(key)
	}
	return h.options.Others()
}

// tellLimits tells a daemon that asks for loads what is known of the back ends' limits. It goes before the answer, which the
// asker waits for.
func (h *Homes) tellLimits(now time.Time, to string, keys []uint64) {
	if known := h.options.Pool.KnownLimits(now, keys); len(known) > 0 {
		h.sendLimits(to, known)
	}
}

// NotifyBackendsListed notes that back ends were listed. A daemon that starts asks others then for the limits in force.
func (h *Homes) NotifyBackendsListed() {
	select {
	case h.listed <- struct{}{}:
	default:
	}
}

// askLimits asks some others for the limits in force, unless any has told some.
func (h *Homes) askLimits() {
	others := h.options.Others()
	if h.limitsTold.Load() || h.limitQuestions == 0 || len(others) == 0 {
		return
	}
	h.limitQuestions--
	for _, index := range rand.Perm(len(others))[:min(limitTellers, len(others))] {
		peerlink.Tell(h.options.Link, others[index], peerlink.KindRequestLimitsQuestion, &limitsQuestion{})
	}
}

// hearLimitsQuestion tells a daemon that starts the limits in force.
func (h *Homes) hearLimitsQuestion(from string, _ limitsQuestion) {
	h.sendLimits(from, h.options.Pool.LimitsInForce(clock.Now()))
}

// sendLimits tells a daemon some limits, or that there are none.
func (h *Homes) sendLimits(to string, limits []backendpool.BackendLimit) {
	for len(limits) > limitsEach {
		peerlink.Tell(h.options.Link, to, peerlink.KindRequestLimits, compactLimits(limits[:limitsEach]))
		limits = limits[limitsEach:]
	}
	peerlink.Tell(h.options.Link, to, peerlink.KindRequestLimits, compactLimits(limits))
}

// hearLimits takes in what another daemon knows of limits.
func (h *Homes) hearLimits(from string, got limitMessage) {
	h.limitsTold.Store(true)
	told := make([]backendpool.BackendLimit, len(got.Limits))
	for index, sent := range got.Limits {
		told[index] = sent.told()
	}
	for _, id := range h.options.Pool.ReceiveLimits(clock.Now(), told) {
		limit := h.options.Pool.RequestLimit(id)
		h.options.Log.WithFields(logrus.Fields{
			"backend": id.Name(), "from": from, "in_force": limit.InForce, "limit_per_second": limit.PerSecond, "limit_version": limit.Version,
		}).Info("Another daemon tells of a back end's limit of requests.")
	}
}
