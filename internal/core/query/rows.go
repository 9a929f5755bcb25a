package query

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// The row types below are the schemas of the sources. The column tag gives the name, and
// "key" for the columns that identify a row.

// Backend is a back end as the asked daemon believes it to be.
type Backend struct {
	Backend identity.BackendName `column:"backend,key"`
	// Incarnation is of its life; zero is not told.
	Incarnation int                  `column:"incarnation"`
	Service     identity.ServiceName `column:"service"`
	Zone        identity.Zone        `column:"zone"`
	Address     string               `column:"address"`
	// Software is the version of the service's software that it runs; empty is not told.
	Software identity.SoftwareVersion `column:"software"`
	// Models lists what it holds as MODEL@VERSION, with commas.
	Models string `column:"models"`
	// Leaving is set when it says so, and while it is taken out to load weights.
	Leaving bool `column:"leaving"`
	// Backoff is for how long it still wants no requests from the asked daemon.
	Backoff time.Duration `column:"backoff"`
	// Refusing is set while it gets few requests since it refuses them.
	Refusing bool `column:"refusing"`
	// Doubted is set while it gets no requests since it failed some.
	Doubted bool `column:"doubted"`
	// Running is how many requests are under way there, of all daemons as far as told.
	Running float64 `column:"running"`
	// Own is how many of them came from the asked daemon.
	Own int `column:"own"`
	// ReadingTokens is how much of prompts waits there to be read.
	ReadingTokens float64 `column:"reading_tokens"`
}

// Daemon is a daemon that the asked one knows.
type Daemon struct {
	Address string `column:"address,key"`
	// Self is set for the asked one.
	Self bool `column:"self"`
}

// Model is a model of a service, with how many back ends hold older weights than the newest.
type Model struct {
	Service identity.ServiceName `column:"service,key"`
	Model   identity.ModelName   `column:"model,key"`
	// Version is the newest that is named; zero before the first one.
	Version uint64 `column:"version"`
	// Named is how long ago the asked daemon knows it to be named.
	Named time.Duration `column:"named"`
	// Backends hold the model, and Behind of them an older version.
	Backends int `column:"backends"`
	Behind   int `column:"behind"`
}

// Quarantine is a request, or a shared part of prompts, that the asked daemon blames for the ends of back ends.
type Quarantine struct {
	// Fingerprint is what log lines have as fingerprint of a request, and as prompt_part of a part.
	Fingerprint string `column:"fingerprint,key"`
	// Part is set for a shared part of prompts.
	Part bool `column:"part"`
	// Crashes is the number of back ends that ended under it.
	Crashes int `column:"crashes"`
	// Newest is how long ago the last of them ended.
	Newest time.Duration `column:"newest"`
	// Remaining is the time until the quarantine ends if no further back end does.
	Remaining time.Duration `column:"remaining"`
	// Companions is how many other parts explain the same ends: a prompt with only some of them is sent, one at a time.
	Companions int `column:"companions"`
}

// Rollout is how a service moves to back ends of another version of its software, on one route.
type Rollout struct {
	Service identity.ServiceName `column:"service,key"`
	// Route is empty in the only row of a service of which no answers are counted.
	Route string `column:"route,key"`
	// Version is the one that was ordered last; empty without an order.
	Version identity.SoftwareVersion `column:"version"`
	// Stable is the version that gets the requests outside of a roll-out.
	Stable identity.SoftwareVersion `column:"stable"`
	// State is trial, shift, completed or rolled_back; empty without an order.
	State string `column:"state"`
	// Exposing is set while the asked daemon may send requests to a version under trial.
	Exposing bool `column:"exposing"`
	// Share (0 to 1) of the asked daemon's sendings since the order went to the version.
	Share float64 `column:"share"`
	// StableGood to VersionBad are answers on the route since the order. Slow ones are bad.
	StableGood  int `column:"stable_good"`
	StableBad   int `column:"stable_bad"`
	VersionGood int `column:"version_good"`
	VersionBad  int `column:"version_bad"`
	// AllDaemons is set if the answers are of all daemons; else they are of the asked one.
	AllDaemons bool `column:"all_daemons"`
	// Reason says why the state was reached.
	Reason string `column:"reason"`
}

// Route is a route of the configuration in force.
type Route struct {
	Route    string `column:"route,key"`
	Host     string `column:"host"`
	Path     string `column:"path"`
	Kind     string `column:"kind"`
	Services string `column:"services"`
	Priority int    `column:"priority"`
	Attempts int    `column:"attempts"`
	// Target is the time to the first byte within which an answer is worth most.
	Target  time.Duration `column:"target"`
	Timeout time.Duration `column:"timeout"`
}

// Service is a service of the configuration in force.
type Service struct {
	Service        identity.ServiceName `column:"service,key"`
	Models         string               `column:"models"`
	Slots          int                  `column:"slots"`
	CapacityTokens int                  `column:"capacity_tokens"`
	PromptStore    string               `column:"prompt_store"`
	Backends       int                  `column:"backends"`
	Leaving        int                  `column:"leaving"`
	Doubted        int                  `column:"doubted"`
	Running        float64              `column:"running"`
}

// Tenant is a tenant of the configuration in force. Keys are never shown.
type Tenant struct {
	Tenant   identity.TenantName `column:"tenant,key"`
	Keys     int                 `column:"keys"`
	Isolated bool                `column:"isolated"`
	// LimitUnit is what the tenant's limit counts, tokens or requests; empty without one.
	LimitUnit string `column:"limit_unit"`
	// LimitPerSecond and LimitBurst are the limit, for all daemons together.
	LimitPerSecond float64 `column:"limit_per_second"`
	LimitBurst     float64 `column:"limit_burst"`
	// GrantedHere is set if the asked daemon grants for the tenant at present, and LimitLeft
	// is what it would grant at once then.
	GrantedHere bool    `column:"granted_here"`
	LimitLeft   float64 `column:"limit_left"`
	// HeldBytes is what the asked daemon holds for the tenant's callers: bodies, answers that wait to be read.
	HeldBytes int `column:"held_bytes"`
}
