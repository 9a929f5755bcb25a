package process

import "github.com/lotusward/lotusward/internal/lab/link"

// openLink opens a link in front of an address, or returns nil when the plan has
// no links.
func (d *Deployment) openLink(address string) (*link.Link, error) {
	if !d.Plan.Links {
		return nil, nil
	}
	opened, err := link.Start(address)
	if err != nil {
		return nil, err
	}
	d.links = append(d.links, opened)
	return opened, nil
}

// advertised is the peer address that other daemons use.
func (d *Daemon) advertised() string {
	if d.PeerLink != nil {
		return d.PeerLink.Address()
	}
	return d.Peer
}
