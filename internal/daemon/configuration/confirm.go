package configuration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
)

var (
	errNoConfirmation = errors.New("the peer has no newer confirmation")
	errNoMajority     = errors.New("no majority of daemons answered")
	errNoPeers        = errors.New("no peers are known")
	errReadsSpent     = errors.New("the share of table reads is spent")
)

// confirmOnce asks once whether a newer revision is known, and takes it. Roots
// ask the table, others ask their parent in the forest; what fails is replaced
// by the next best, so that an isolated daemon has tried everything.
func (r *Runner) confirmOnce(ctx context.Context) error {
	ranking, rank, members := r.ranking()
	parent, hasParent := revision.Parent(rank)
	if !hasParent {
		return r.hedged(ctx, r.confirmFromTable, func(ctx context.Context) error {
			return r.confirmWithoutTable(ctx, rootsOf(ranking), members)
		})
	}
	err := r.confirmFromPeer(ctx, members[ranking[parent]])
	if err == nil {
		return nil
	}
	if err := r.confirmFromPeer(ctx, members[r.randomOf(ranking)]); err == nil {
		return nil
	}
	now := r.options.Clock()
	if r.confirmedWithin(r.options.IsolationLimit/2) || !r.fallback.enter(now, r.herdPeriod()) {
		return err
	}
	return r.hedged(ctx, r.confirmFromTable, func(ctx context.Context) error {
		return r.confirmWithoutTable(ctx, rootsOf(ranking), members)
	})
}

// ranking ranks all daemons, and tells this daemon's rank.
func (r *Runner) ranking() ([]identity.DaemonID, int, map[identity.DaemonID]Member) {
	known := r.options.Peers.Members()
	members := make(map[identity.DaemonID]Member, len(known))
	daemons := []identity.DaemonID{r.options.Self.ID}
	for _, member := range known {
		members[member.ID] = member
		daemons = append(daemons, member.ID)
	}
	ranking := revision.Ranking(daemons)
	return ranking, slices.Index(ranking, r.options.Self.ID), members
}

func rootsOf(ranking []identity.DaemonID) []identity.DaemonID {
	return ranking[:min(revision.Roots, len(ranking))]
}

func (r *Runner) randomOf(ranking []identity.DaemonID) identity.DaemonID {
	return ranking[int(r.options.Random()*float64(len(ranking)))%len(ranking)]
}

func (r *Runner) confirmedWithin(age time.Duration) bool {
	status := r.Status()
	return !status.Provisional && r.options.Clock().Sub(status.ConfirmedAt) <= age
}

// confirmFromTable reads the table's head and takes what is missing.
func (r *Runner) confirmFromTable(ctx context.Context) error {
	if !r.tableReads.AllowN(r.options.Clock(), 1) {
		return errReadsSpent
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	asked := r.options.Clock()
	position, err := r.position(ctx, "")
	if err != nil {
		return err
	}
	if err := r.catchUp(ctx, position); err != nil {
		return err
	}
	return r.confirm(position.Head, asked)
}

// confirmWithoutTable asks the roots for a confirmation newer than ours, in the
// order of their ranks so that few of them count votes, and then all daemons for
// their votes.
func (r *Runner) confirmWithoutTable(ctx context.Context, roots []identity.DaemonID, members map[identity.DaemonID]Member) error {
	for _, daemon := range roots {
		if daemon == r.options.Self.ID {
			continue
		}
		if err := r.confirmFromPeer(ctx, members[daemon]); err == nil && r.confirmedWithin(r.options.IsolationLimit/2) {
			return nil
		}
	}
	return r.confirmFromMajority(ctx)
}

// confirmFromPeer takes what a peer has, and the peer's last confirmation. It
// fails when that is no newer than ours.
func (r *Runner) confirmFromPeer(ctx context.Context, member Member) error {
	if member.ID == "" {
		return errNoPeers
	}
	asked := r.options.Clock()
	before := r.Status().ConfirmedAt
	callContext, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	response, err := r.options.Peers.Head(callContext, member, HeadRequest{})
	cancel()
	if err != nil {
		return err
	}
	if response.Head.Revision > r.Revision() {
		if err := r.pullFrom(ctx, member); err != nil {
			return err
		}
	}
	if response.Provisional {
		return errNoConfirmation
	}
	if err := r.confirm(response.Head, asked.Add(-response.ConfirmedAge)); err != nil {
		return err
	}
	if !r.Status().ConfirmedAt.After(before) {
		return errNoConfirmation
	}
	return nil
}

// vote is one peer's answer, with who gave it.
type vote struct {
	revision.Vote
	member Member
}

// confirmFromMajority asks all daemons for their newest revision, takes the
// newest, and records a confirmation if a majority answered.
func (r *Runner) confirmFromMajority(ctx context.Context) error {
	asked := r.options.Clock()
	votes := r.collectVotes(ctx)
	counted := make([]revision.Vote, 0, len(votes)+1)
	own := r.Status()
	counted = append(counted, revision.Vote{Revision: own.Head.Revision, Provisional: own.Provisional})
	for _, cast := range votes {
		counted = append(counted, cast.Vote)
	}
	newest, majority := revision.Tally(counted, r.options.Peers.Size())
	if err := r.pullNewest(ctx, votes, newest); err != nil {
		return err
	}
	if !majority {
		return errNoMajority
	}
	return r.update(func(store *revision.Store) error {
		store.Confirm(newest, asked)
		return nil
	})
}

func (r *Runner) collectVotes(ctx context.Context) []vote {
	var mutex sync.Mutex
	var votes []vote
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	forEach(r.options.Peers.Members(), r.options.CallsAtOnce, func(member Member) {
		response, err := r.options.Peers.Head(ctx, member, HeadRequest{})
		if err != nil {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		votes = append(votes, vote{
			Vote:   revision.Vote{Revision: response.Head.Revision, Provisional: response.Provisional},
			member: member,
		})
	})
	return votes
}

// pullNewest pulls from the voters that are ahead until one gave the newest.
func (r *Runner) pullNewest(ctx context.Context, votes []vote, newest identity.Revision) error {
	err := fmt.Errorf("no peer gave revision %d", newest)
	for _, cast := range votes {
		if r.Revision() >= newest {
			return nil
		}
		if cast.Revision == newest {
			err = r.pullFrom(ctx, cast.member)
		}
	}
	if r.Revision() >= newest {
		return nil
	}
	return err
}

// hedged runs first, and second when first failed or is slow. It returns nil as
// soon as one of them does.
func (r *Runner) hedged(ctx context.Context, first, second func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 1)
	go func() { results <- first(ctx) }()
	timer := time.NewTimer(r.options.HedgeDelay)
	defer timer.Stop()
	select {
	case err := <-results:
		if err == nil {
			return nil
		}
		return errors.Join(err, second(ctx))
	case <-timer.C:
	}
	return r.eitherOf(ctx, results, second)
}

// eitherOf waits for a running function or for the second one.
func (r *Runner) eitherOf(ctx context.Context, running <-chan error, second func(ctx context.Context) error) error {
	results := make(chan error, 1)
	go func() { results <- second(ctx) }()
	var failed error
	for range 2 {
		var err error
		select {
		case err = <-running:
		case err = <-results:
		}
		if err == nil {
			return nil
		}
		failed = errors.Join(failed, err)
	}
	return failed
}
