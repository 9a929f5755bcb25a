package control

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/hotprefix"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// usage counts the requests of each tenant that wait or run in this daemon.
type usage struct {
	requests map[identity.RequestID]*trackedRequest
	tenants  map[identity.TenantName]*TenantUsage
}

// trackedRequest is a request that has arrived and not ended.
type trackedRequest struct {
	request scheduler.Request
	arrived time.Time
	backend identity.BackendID // empty while it waits
}

// TenantUsage is one daemon's present work for a tenant.
type TenantUsage struct {
	Waiting int
	Running int
}

// Waiting is a request that waits for its turn.
type Waiting struct {
	Request scheduler.Request
	Since   time.Time
}

func newUsage() usage {
	return usage{
		requests: make(map[identity.RequestID]*trackedRequest),
		tenants:  make(map[identity.TenantName]*TenantUsage),
	}
}

func (u *usage) of(tenant identity.TenantName) *TenantUsage {
	used, found := u.tenants[tenant]
	if !found {
		used = &TenantUsage{}
		u.tenants[tenant] = used
	}
	return used
}

func (u *usage) arrive(now time.Time, request scheduler.Request) {
	u.requests[request.ID] = &trackedRequest{request: request, arrived: now}
	u.of(request.Tenant).Waiting++
}

func (u *usage) start(id identity.RequestID, backend identity.BackendID) {
	tracked, found := u.requests[id]
	if !found || tracked.backend != "" {
		return
	}
	tracked.backend = backend
	used := u.of(tracked.request.Tenant)
	used.Waiting--
	used.Running++
}

// end forgets a request that was refused, withdrawn or finished.
func (u *usage) end(id identity.RequestID) {
	tracked, found := u.requests[id]
	if !found {
		return
	}
	delete(u.requests, id)
	used := u.of(tracked.request.Tenant)
	if tracked.backend == "" {
		used.Waiting--
	} else {
		used.Running--
	}
	if *used == (TenantUsage{}) {
		delete(u.tenants, tracked.request.Tenant)
	}
}

// waitingFor counts the waiting requests that have a prefix.
func (u *usage) waitingFor(shared hotprefix.Prefix) int {
	count := 0
	for _, tracked := range u.requests {
		chain := tracked.request.Chain
		if tracked.backend == "" && len(chain) >= shared.Blocks && chain[shared.Blocks-1] == shared.Hash {
			count++
		}
	}
	return count
}

// TenantUsage returns this daemon's present work for a tenant. It asks the control
// goroutine, and is for operators' questions.
func (l *Loop) TenantUsage(tenant identity.TenantName) TenantUsage {
	var used TenantUsage
	l.Call(func(time.Time) {
		if found := l.state.usage.tenants[tenant]; found != nil {
			used = *found
		}
	})
	return used
}

// WaitingRequests returns the requests that wait in this daemon.
func (l *Loop) WaitingRequests() []Waiting {
	var waiting []Waiting
	l.Call(func(time.Time) {
		for _, tracked := range l.state.usage.requests {
			if tracked.backend == "" {
				waiting = append(waiting, Waiting{Request: tracked.request, Since: tracked.arrived})
			}
		}
	})
	return waiting
}

// Assigned counts the requests that run on a back end for this daemon.
func (l *Loop) Assigned(backend identity.BackendID) int {
	count := 0
	l.Call(func(time.Time) {
		for _, tracked := range l.state.usage.requests {
			if tracked.backend == backend {
				count++
			}
		}
	})
	return count
}

// HotPrefix is a prefix that many recent requests share.
type HotPrefix struct {
	hotprefix.Prefix
	// Waiting is how many requests with it wait for their turn.
	Waiting int
}

// HotPrefixes returns the prefixes that most recent requests of this daemon share.
func (l *Loop) HotPrefixes(count int) []HotPrefix {
	var hot []HotPrefix
	l.Call(func(now time.Time) {
		for _, shared := range l.state.hot.Top(now, count) {
			hot = append(hot, HotPrefix{Prefix: shared, Waiting: l.state.usage.waitingFor(shared)})
		}
	})
	return hot
}
