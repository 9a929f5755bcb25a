// Package static holds the settings that a daemon reads once at its start: its
// name and zone, its addresses, its peers and keys. They come from a YAML file
// and from flags, which go first. Configuration that operators change while the
// system runs is in package dynamic.
package static

import (
	"cmp"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// Settings are all settings of one daemon. Default gives their defaults.
type Settings struct {
	Identity  Identity        `yaml:"identity"`
	Listen    Listen          `yaml:"listen"`
	Peers     Peers           `yaml:"peers"`
	Platform  Platform        `yaml:"platform"`
	Operators []Operator      `yaml:"operators"`
	Logging   Logging         `yaml:"logging"`
	Limits    Limits          `yaml:"limits"`
	Isolation IsolationPolicy `yaml:"isolation"`
	// CacheEvents says who reads engines' streams of cache events.
	CacheEvents CacheEventReaders `yaml:"cache_events"`
	Tuning      Tuning            `yaml:"tuning"`
}

// Identity says which daemon this is and where it stands.
type Identity struct {
	// Daemon is unique among all daemons and stays the same across restarts.
	Daemon identity.DaemonID `yaml:"daemon"`
	Zone   identity.Zone     `yaml:"zone"`
	Region string            `yaml:"region"`
}

// Listen holds the addresses that the daemon listens on, each IP:port.
type Listen struct {
	// Callers serves model and web-app requests over HTTP.
	Callers string `yaml:"callers"`
	// Admin serves the administration API over HTTP.
	Admin string `yaml:"admin"`
	// Peer serves other daemons, TCP and UDP on the same port.
	Peer string `yaml:"peer"`
	// Health serves /healthz, /readyz and /metrics over HTTP.
	Health string `yaml:"health"`
}

// Peers says how this daemon and the others find and trust each other.
type Peers struct {
	// Advertise is the peer address that other daemons use, IP:port. When empty
	// it is Listen.Peer.
	Advertise string `yaml:"advertise"`
	// Seeds are the peer addresses of some other daemons, asked first at the start.
	Seeds []string `yaml:"seeds"`
	// Keys authenticate messages between daemons. The first one signs, and all
	// are accepted, so that a key can be replaced without a stop.
	Keys []Key `yaml:"keys"`
}

// Key is a shared secret. Exactly one of the fields is set in the file; Load
// fills Value from the others.
type Key struct {
	Value Secret `yaml:"value"`
	// File is the path of a file with the key; space around it is cut off.
	File string `yaml:"file"`
	// Environment is the name of an environment variable with the key.
	Environment string `yaml:"environment"`
}

// Platform holds the base URLs of the platform's services, each http://IP:port.
type Platform struct {
	Table    string `yaml:"table"`
	Objects  string `yaml:"objects"`
	Machines string `yaml:"machines"`
}

// Operator is a person or program that may use the administration API.
type Operator struct {
	Name string `yaml:"name"`
	Role Role   `yaml:"role"`
	// TokenSHA256 is the lower-case hexadecimal SHA-256 sum of the bearer token.
	TokenSHA256 string `yaml:"token_sha256"`
}

// Role says what an operator may do.
type Role string

// The roles.
const (
	// RoleRead may ask queries.
	RoleRead Role = "read"
	// RoleOperate may ask queries and give commands.
	RoleOperate Role = "operate"
)

// Logging says how the daemon logs.
type Logging struct {
	Format logging.Format `yaml:"format"`
	// Level is a logrus level: error, warning, info or debug.
	Level string `yaml:"level"`
}

// Limits bound what one caller's connection may cost the daemon.
type Limits struct {
	// BodyBytes is the largest accepted request body.
	BodyBytes int64 `yaml:"body_bytes"`
	// HeaderBytes is the largest accepted request header.
	HeaderBytes int `yaml:"header_bytes"`
	// HeaderReadTimeout bounds the reading of a request header.
	HeaderReadTimeout time.Duration `yaml:"header_read_timeout"`
	// BodyReadTimeout bounds the reading of a whole request.
	BodyReadTimeout time.Duration `yaml:"body_read_timeout"`
	// IdleTimeout closes a connection without requests.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
}

// IsolationPolicy says what a daemon does with callers' requests while it can't
// know whether its configuration is the newest: it reaches neither the table
// service nor a majority of its peers.
type IsolationPolicy string

// The isolation policies.
const (
	// IsolationRefuse refuses new requests while isolated.
	IsolationRefuse IsolationPolicy = "refuse"
	// IsolationServe goes on serving with the configuration at hand.
	IsolationServe IsolationPolicy = "serve"
)

// CacheEventReaders says who reads an engine's stream of cache events.
type CacheEventReaders string

// The readers of cache events.
const (
	// CacheEventsWatchers has the daemons that watch an engine read them.
	CacheEventsWatchers CacheEventReaders = "watchers"
	// CacheEventsOff has nobody read them.
	CacheEventsOff CacheEventReaders = "off"
)

// Tuning holds intervals that rarely need a change.
type Tuning struct {
	// ProbeInterval is the time between two probes of other daemons.
	ProbeInterval time.Duration `yaml:"probe_interval"`
	// ProbeTimeout is how long the answer to a probe may take.
	ProbeTimeout time.Duration `yaml:"probe_timeout"`
	// SuspicionTimeout is how long a suspected daemon has to speak up before it
	// counts as dead.
	SuspicionTimeout time.Duration `yaml:"suspicion_timeout"`
	// IsolationTimeout is how old the last confirmation that the configuration is
	// the newest, by the table service or a majority of daemons, may become before
	// the daemon counts itself as isolated.
	IsolationTimeout time.Duration `yaml:"isolation_timeout"`
	// LoadPollInterval is the time between two status polls of a back end.
	LoadPollInterval time.Duration `yaml:"load_poll_interval"`
	// MachineListInterval is the time between two reads of the machine list.
	MachineListInterval time.Duration `yaml:"machine_list_interval"`
	// PlatformTimeout bounds one call of a platform service.
	PlatformTimeout time.Duration `yaml:"platform_timeout"`
	// LeaseDuration is how long the lease of the fleet controller lasts.
	LeaseDuration time.Duration `yaml:"lease_duration"`
	// ControllerInterval is the time between two plans of the fleet controller.
	ControllerInterval time.Duration `yaml:"controller_interval"`
	// StopTimeout is how long an orderly stop waits for running requests.
	StopTimeout time.Duration `yaml:"stop_timeout"`
}

// Secret is a text that prints as a placeholder, so that it reaches no log.
type Secret string

const redacted = "[redacted]"

// String implements fmt.Stringer without the secret.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer without the secret.
func (Secret) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler without the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// PeerKeys returns the keys between daemons, the signing key first.
func (s *Settings) PeerKeys() [][]byte {
	keys := make([][]byte, 0, len(s.Peers.Keys))
	for _, key := range s.Peers.Keys {
		keys = append(keys, []byte(key.Value))
	}
	return keys
}

// PeerAddress returns the peer address that other daemons use.
func (s *Settings) PeerAddress() string {
	return cmp.Or(s.Peers.Advertise, s.Listen.Peer)
}
