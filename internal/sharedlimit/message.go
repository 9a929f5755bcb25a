package sharedlimit

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/quota"
)

// askMessage requests a grant from an owner's limit. It carries the limit, so that the granting daemon needs no
// configuration for the owner and applies the newest version.
type askMessage struct {
	Number uint64
	// Tenant is the owner.
	Tenant        string
	Version       uint64
	RatePerSecond float64
	Burst         float64
	Cost          float64
	// Apart states that the sender hears daemons of its own region but none of the receiver's region, and so will
	// not receive the answer either.
	Apart bool
}

func (m *askMessage) request(from string) quota.Request {
	return quota.Request{
		Key:   quota.RequestKey{From: from, Number: m.Number},
		Owner: quota.Owner(m.Tenant),
		Limit: quota.Limit{Version: m.Version, RatePerSecond: m.RatePerSecond, Burst: m.Burst},
		Cost:  m.Cost,
	}
}

// answerMessage is the answer to an askMessage.
type answerMessage struct {
	Number  uint64
	Granted bool
	// WaitMs is the number of milliseconds until capacity is available.
	WaitMs uint32
}

func newAnswer(number uint64, decision quota.Decision) *answerMessage {
	return &answerMessage{Number: number, Granted: decision.Granted, WaitMs: uint32(decision.Wait.Milliseconds())}
}

func (m *answerMessage) decision() quota.Decision {
	return quota.Decision{Granted: m.Granted, Wait: time.Duration(m.WaitMs) * time.Millisecond}
}

// returnMessage returns an unused grant.
type returnMessage struct{ Number uint64 }
