package backendpool

import "github.com/lotusward/lotusward/internal/core/identity"

// hasEnded reports whether the back end is listed but gone: its address belongs to another back end or to a later
// incarnation.
func (e *entry) hasEnded() bool { return e.replaced || e.ended }

// Ended records that a back end has ended although it is still listed, as it was found to have restarted. It gets
// no further requests, and those in flight there are notified. The next incarnation is used once it is listed.
func (p *Pool) Ended(id identity.BackendID) {
	gone, lost, known := p.end(id)
	if !known {
		return
	}
	p.notifyEnded(gone)
	for _, notify := range lost {
		notify(false)
	}
}

// notifyEnded invokes the callbacks for a back end that has ended. The caller doesn't hold the mutex.
func (p *Pool) notifyEnded(gone Backend) {
	p.onReachability(gone.ID, false)
	p.ended(gone.Address)
}

// end marks a back end as ended, and returns it with the callbacks of the requests in flight there. It returns
// false if the back end was known to have ended or isn't listed.
func (p *Pool) end(id identity.BackendID) (gone Backend, lost []func(silent bool), known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	if found == nil || found.ended {
		return Backend{}, nil, false
	}
	found.ended = true
	return found.backend, found.lost(), true
}

// OnEnded sets the callback that gets the address of each back end that has ended, so that connections to it can be
// closed. It must be set before the pool is used, and must not block.
func (p *Pool) OnEnded(callback func(address string)) { p.ended = callback }
