package configuration

import (
	"context"
	"sync"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
)

const (
	// pullLimit is how many entries one answer carries.
	pullLimit = 128
	// snapshotsAtOnce is how many answers with snapshots are made at a time; the
	// others are told to ask somebody else.
	snapshotsAtOnce = 4
)

// snapshotSender encodes a snapshot once for all who ask for it.
type snapshotSender struct {
	slots  chan struct{}
	mutex  sync.Mutex
	cached *revision.Snapshot
}

func newSnapshotSender() snapshotSender {
	return snapshotSender{slots: make(chan struct{}, snapshotsAtOnce)}
}

// HandleHead answers a peer's HeadRequest.
func (r *Runner) HandleHead(_ context.Context, _ HeadRequest) (HeadResponse, error) {
	status := r.Status()
	response := HeadResponse{Head: status.Head, Provisional: status.Provisional}
	if !status.Provisional {
		response.ConfirmedAge = r.options.Clock().Sub(status.ConfirmedAt)
	}
	return response, nil
}

// HandlePull answers a peer's PullRequest.
func (r *Runner) HandlePull(_ context.Context, request PullRequest) (PullResponse, error) {
	entries, reaches, head := r.since(request.From)
	if reaches {
		return PullResponse{Head: head, Entries: entries}, nil
	}
	select {
	case r.snapshots.slots <- struct{}{}:
		defer func() { <-r.snapshots.slots }()
	default:
		return PullResponse{Head: head, Busy: true}, nil
	}
	snapshot, err := r.cachedSnapshot()
	if err != nil {
		return PullResponse{}, err
	}
	return PullResponse{Head: snapshot.Head, Snapshot: snapshot}, nil
}

func (r *Runner) since(from identity.Revision) ([]revision.Entry, bool, revision.Head) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entries, reaches := r.store.Since(from, pullLimit)
	return entries, reaches, r.store.Head()
}

// cachedSnapshot returns a snapshot of the present document.
func (r *Runner) cachedSnapshot() (*revision.Snapshot, error) {
	r.snapshots.mutex.Lock()
	defer r.snapshots.mutex.Unlock()
	if cached := r.snapshots.cached; cached != nil && cached.Head == r.head() {
		return cached, nil
	}
	snapshot, err := r.snapshot()
	if err != nil {
		return nil, err
	}
	r.snapshots.cached = &snapshot
	return &snapshot, nil
}

// HandlePush takes a peer's push, and passes it on.
func (r *Runner) HandlePush(_ context.Context, request PushRequest) (PushResponse, error) {
	if request.Entry != nil {
		if err := r.offer([]revision.Entry{*request.Entry}, revision.SourcePeer); err != nil {
			return PushResponse{}, err
		}
	}
	r.options.Go(func() {
		if r.Revision() < request.Revision {
			ctx, cancel := context.WithTimeout(r.stopped, r.options.ProposeTimeout)
			defer cancel()
			if err := r.pullFrom(ctx, request.From); err != nil {
				r.options.Log.WithError(err).Debug("The sender of a push can't be pulled from.")
			}
		}
		r.passOn(request)
	})
	return PushResponse{Revision: r.Revision()}, nil
}
