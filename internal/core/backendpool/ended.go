package backendpool

import "github.com/lotusward/lotusward/internal/core/identity"

// isOver tells whether the back end is listed and there no more: at its address there is another one, or a
// later life of its own.
func (e *entry) isOver() bool { return e.replaced || e.ended }

// Ended notes that a back end has ended though it is still listed: it was found to have started again. It
// gets no requests any more, and those under way there are told. The next life is used once it is listed.
func (p *Pool) Ended(id identity.BackendID) {
	gone, lost, known := p.end(id)
	if !known {
		return
	}
	p.tellEnded(gone)
	for _, tell := range lost {
		tell()
	}
}

// tellEnded tells whoever wants to know that a back end has ended. The caller doesn't hold the mutex.
func (p *Pool) tellEnded(gone Backend) {
	p.checked(gone.ID, false)
	p.ended(gone.Address)
}

// end marks a back end as ended, and returns it with what is to be told to the requests under way there;
// false where it was known to have ended, or isn't listed.
func (p *Pool) end(id identity.BackendID) (gone Backend, lost []func(), known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	if found == nil || found.ended {
		return Backend{}, nil, false
	}
	found.ended = true
	return found.backend, found.lost(), true
}

// OnEnded sets what is told the address of each back end that has ended: connections to it are of no use. It
// must be set before the pool is used, and must not block.
func (p *Pool) OnEnded(ended func(address string)) { p.ended = ended }
