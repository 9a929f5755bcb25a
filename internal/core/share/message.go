package share

import "github.com/lotusward/lotusward/internal/core/identity"

// Amount is a part of a tenant's limits.
type Amount struct {
	TokensPerSecond float64 `msgpack:"tokens_per_second,omitempty"`
	Concurrent      int     `msgpack:"concurrent,omitempty"`
}

func (a Amount) plus(other Amount) Amount {
	return Amount{a.TokensPerSecond + other.TokensPerSecond, a.Concurrent + other.Concurrent}
}

// minus never goes below nothing.
func (a Amount) minus(other Amount) Amount {
	return Amount{max(0, a.TokensPerSecond-other.TokensPerSecond), max(0, a.Concurrent-other.Concurrent)}
}

func (a Amount) least(other Amount) Amount {
	return Amount{min(a.TokensPerSecond, other.TokensPerSecond), min(a.Concurrent, other.Concurrent)}
}

func (a Amount) isNothing() bool { return a.TokensPerSecond <= 0 && a.Concurrent <= 0 }

// Message is what daemons tell each other about shares.
type Message struct {
	Asks   []Ask   `msgpack:"asks,omitempty"`
	Grants []Grant `msgpack:"grants,omitempty"`
}

// Ask asks another daemon to lend a part of its share of a tenant's limits.
type Ask struct {
	Tenant identity.TenantName `msgpack:"tenant"`
	// Number names the ask at its sender; the grant repeats it.
	Number uint64 `msgpack:"number"`
	Wanted Amount `msgpack:"wanted"`
}

// Grant lends an amount for LeaseDuration, which the receiver counts from when
// it sent the ask, and the sender from when it sent the grant.
type Grant struct {
	Tenant identity.TenantName `msgpack:"tenant"`
	Number uint64              `msgpack:"number"`
	Lent   Amount              `msgpack:"lent"`
}

// Outgoing is a message to one daemon.
type Outgoing struct {
	To      identity.DaemonID
	Message Message
}
