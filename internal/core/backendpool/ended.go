package backendpool

import "github.com/lotusward/lotusward/internal/core/identity"

// isOver tells whether the back end is listed and there no more: at its address there is another one, or a
// later life of its own.
func (e *entry) isOver() bool { return e.replaced || e.ended }

// Ended notes that a back end has ended though it is still listed: it was found to have started again. It
// gets no requests any more, and those under way there are told. The next life is used once it is listed.
func (p *Pool) Ended(id identity.BackendID) {
	found, lost := p.end(id)
	if found == nil {
		return
	}
	p.checked(id, false)
	p.ended(found.backend.Address)
	for _, tell := range lost {
		tell()
	}
}

// end returns the back end with what is to be told to the requests under way there; nil where it was known
// to have ended, or isn't listed.
func (p *Pool) end(id identity.BackendID) (*entry, []func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	if found == nil || found.ended {
		return nil, nil
	}
	found.ended = true
	return found, found.lost()
}

// OnEnded sets what is told the address of each back end that has ended: connections to it are of no use. It
// must be set before the pool is used, and must not block.
func (p *Pool) OnEnded(ended func(address string)) { p.ended = ended }
