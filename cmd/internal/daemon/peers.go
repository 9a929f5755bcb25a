package daemon

import (
	"context"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// refreshLoad asks what other daemons have under way at a back end, where there are too many
// daemons to tell all.
func (w *Daemon) refreshLoad(ctx context.Context, id identity.BackendID) {
	w.refreshLoads(ctx, []uint64{rendezvous.Key(string(id))})
}

// refreshLoads does so for some back ends, by the hashes of their IDs.
func (w *Daemon) refreshLoads(ctx context.Context, keys []uint64) {
	if w.homes.Needed() {
		w.homes.Refresh(ctx, keys)
	}
}

// tell tells all other daemons what this one has read. Lists are long, and go down a tree;
// the rest is short, and must not wait behind them.
func (w *Daemon) tell(bulletin directory.Bulletin) {
	kind, packedKind := peerlink.KindBulletin, peerlink.KindPackedBulletin
	if bulletin.Era() > 0 {
		kind, packedKind = peerlink.KindEraBulletin, peerlink.KindPackedEraBulletin
	}
	if bulletin.Declared != nil || bulletin.Trying {
		w.broadcast.Tell(kind, &bulletin)
		return
	}
	if packed, brief, packs := bulletin.Pack(); packs {
		w.tree.Tell(packedKind, &packed)
		bulletin = brief
	}
	w.tree.Tell(kind, &bulletin)
}

// hear notes that a daemon is alive.
func (w *Daemon) hear(address string) {
	w.members.Heard(address)
	w.presence.Heard(address, clock.Now())
	w.directory.NoteContact(address)
}
