package configuration

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/pause"
)

const (
	// pushTries is how often a push to one daemon is tried; the next of its part
	// of the tree then takes its place.
	pushTries = 3
	// hintJitter is the longest wait before a hint of gossip makes a daemon pull.
	// The push has mostly come by then.
	hintJitter = 300 * time.Millisecond
	// pullTimeout bounds one pull, which may bring a snapshot of some megabytes.
	pullTimeout = 5 * time.Second
)

// errBusy says that a peer sends enough snapshots already.
var errBusy = errors.New("the peer is busy with other snapshots")

// push sends an entry to the targets along a tree.
func (r *Runner) push(entry revision.Entry, targets []Member) {
	request := PushRequest{From: r.options.Self, Revision: entry.Revision}
	if entry.Change.Operation.Replace == nil {
		request.Entry = &entry
	}
	r.sendParts(request, targets)
}

// passOn sends a push on to its targets.
func (r *Runner) passOn(request PushRequest) {
	targets := request.Targets
	request.From = r.options.Self
	r.sendParts(request, targets)
}

func (r *Runner) sendParts(request PushRequest, targets []Member) {
	parts := revision.Split(targets)
	forEach(parts, r.options.CallsAtOnce, func(part []Member) {
		r.sendPart(request, part)
	})
}

// sendPart pushes to the first daemon of a part that answers; it passes the push
// on to the rest. Those that don't answer learn of the revision by gossip.
func (r *Runner) sendPart(request PushRequest, part []Member) {
	for try := 0; try < pushTries && len(part) > 0; try++ {
		request.Targets = part[1:]
		ctx, cancel := context.WithTimeout(r.stopped, r.options.CallTimeout)
		_, err := r.options.Peers.Push(ctx, part[0], request)
		cancel()
		if err == nil {
			return
		}
		r.options.Log.WithError(err).Debugf("The push to %s failed.", part[0].ID)
		part = part[1:]
	}
}

// Hint tells the runner that a daemon has a revision, as gossip says. A runner
// that is behind pulls a little later.
func (r *Runner) Hint(member Member, newest identity.Revision) {
	if newest <= r.Revision() || !r.pulling.CompareAndSwap(false, true) {
		return
	}
	r.options.Go(func() {
		defer r.pulling.Store(false)
		pause.For(r.stopped, time.Duration(r.options.Random()*float64(hintJitter)))
		if newest <= r.Revision() {
			return
		}
		ctx, cancel := context.WithTimeout(r.stopped, r.options.ProposeTimeout)
		defer cancel()
		if err := r.pullFrom(ctx, member); err != nil {
			r.options.Log.WithError(err).Debugf("The pull from %s failed.", member.ID)
		}
	})
}

// pullFrom takes all that a peer has and we don't.
func (r *Runner) pullFrom(ctx context.Context, member Member) error {
	for {
		before := r.Revision()
		callContext, cancel := context.WithTimeout(ctx, pullTimeout)
		response, err := r.options.Peers.Pull(callContext, member, PullRequest{From: before})
		cancel()
		if err != nil {
			return err
		}
		if response.Busy {
			return errBusy
		}
		if err := r.take(response); err != nil {
			return err
		}
		if r.Revision() >= response.Head.Revision {
			return nil
		}
		if r.Revision() == before {
			return fmt.Errorf("daemon %s sent nothing after revision %d", member.ID, before)
		}
	}
}

func (r *Runner) take(response PullResponse) error {
	if response.Snapshot != nil {
		return r.install(*response.Snapshot, revision.SourcePeer)
	}
	return r.offer(response.Entries, revision.SourcePeer)
}
