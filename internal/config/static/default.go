package static

import (
	"time"

	"github.com/lotusward/lotusward/internal/logging"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Default returns the settings that hold when file and flags say nothing. The
// daemon's identity, the platform and the keys have no default. This is the only
// place of defaults; docs/operations/settings.md shows them, and a test compares.
func Default() *Settings {
	return &Settings{
		Listen: Listen{
			Callers: "127.0.0.1:8080",
			Admin:   "127.0.0.1:8081",
			Peer:    "127.0.0.1:8082",
			Health:  "127.0.0.1:8083",
		},
		Logging: Logging{
			Format: logging.FormatText,
			Level:  "info",
		},
		Limits: Limits{
			BodyBytes:         8 * mebibyte,
			HeaderBytes:       32 * kibibyte,
			HeaderReadTimeout: 5 * time.Second,
			BodyReadTimeout:   30 * time.Second,
			IdleTimeout:       2 * time.Minute,
		},
		Isolation:   IsolationRefuse,
		CacheEvents: CacheEventsWatchers,
		Tuning: Tuning{
			ProbeInterval:       time.Second,
			ProbeTimeout:        400 * time.Millisecond,
			SuspicionTimeout:    4 * time.Second,
			IsolationTimeout:    4 * time.Second,
			LoadPollInterval:    500 * time.Millisecond,
			MachineListInterval: 2 * time.Second,
			PlatformTimeout:     2 * time.Second,
			LeaseDuration:       10 * time.Second,
			ControllerInterval:  time.Second,
			StopTimeout:         2 * time.Minute,
		},
	}
}
