package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/registry"
	"github.com/lotusward/lotusward/internal/daemon/configuration"
)

// pathKnowledge is the call by which a starting daemon asks another what it
// knows of the back ends.
const pathKnowledge = "/backends/knowledge"

const (
	// knowledgePeers is how many others a starting daemon asks.
	knowledgePeers = 3
	// knowledgeTimeout bounds one such call.
	knowledgeTimeout = time.Second
	// knowledgeInterval is how often a daemon without any machine list asks.
	knowledgeInterval = 250 * time.Millisecond
)

type knowledgeRequest struct{}

func (d *Daemon) wireKnowledge() {
	peer.Handle(d.rpc, pathKnowledge, func(context.Context, knowledgeRequest) (registry.Knowledge, error) {
		return d.loop.Knowledge(), nil
	})
}

// runKnowledge asks some other daemons what they know of the back ends, until
// this daemon has a picture of its own. So a restarted daemon serves while the
// machine list is down or slow.
func (d *Daemon) runKnowledge(ctx context.Context) error {
	ticker := time.NewTicker(knowledgeInterval)
	defer ticker.Stop()
	for !d.loop.Knowledge().Listed {
		d.askKnowledge(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	<-ctx.Done()
	return nil
}

func (d *Daemon) askKnowledge(ctx context.Context) {
	members := append([]configuration.Member(nil), d.members.Members()...)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, member := range members[:min(knowledgePeers, len(members))] {
		limited, cancel := context.WithTimeout(ctx, knowledgeTimeout)
		var knowledge registry.Knowledge
		err := d.peers.Call(limited, member.Address, pathKnowledge, knowledgeRequest{}, &knowledge)
		cancel()
		if err == nil && knowledge.Listed {
			d.loop.ObserveKnowledge(knowledge)
			return
		}
	}
}
