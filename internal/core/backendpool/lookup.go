package backendpool

// BackendAt returns the back end at an address; false if none is listed there. A replaced one counts only if there is no other.
func (p *Pool) BackendAt(address string) (Backend, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.byAddress[address]
	if len(list) == 0 {
		return Backend{}, false
	}
	current := list[0]
	for _, each := range list {
		if !each.replaced {
			current = each
		}
	}
	return current.described(), true
}

// BackendByKey returns the back end with a hash that another daemon sent; false if it isn't listed.
func (p *Pool) BackendByKey(key uint64) (Backend, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byPeerKey(key)
	if found == nil {
		return Backend{}, false
	}
	return found.described(), true
}
