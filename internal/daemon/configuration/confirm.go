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
// ask the table, and without it count votes. Others ask their parent in the
// forest, then anyone, and now and then the table.
func (r *Runner) confirmOnce(ctx context.Context) error {
	ranking, rank, members := r.ranking()
	parent, hasParent := revision.Parent(rank)
	if !hasParent {
		return r.hedged(ctx, r.confirmFromTable, func(ctx context.Context) error {
			return r.confirmAsRoot(ctx, rank, rootsOf(ranking), members)
		})
	}
	err := r.confirmFromPeer(ctx, members[ranking[parent]])
	if err == nil {
		return nil
	}
	if err := r.confirmFromPeer(ctx, members[r.randomOf(ranking)]); err == nil {
		return nil
	}
	if r.confirmedWithin(r.options.IsolationLimit/2) || !r.fallback.enter(r.options.Clock()) {
		return err
	}
	if err := r.confirmFromTable(ctx); err != nil {
		return err
	}
	r.fallback.succeeded()
	return nil
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

// confirmAsRoot confirms without the table: by roots of a lower rank if they have
// a confirmation, else by a majority, else by any other root. So mostly the first
// root alone counts votes.
func (r *Runner) confirmAsRoot(ctx context.Context, rank int, roots []identity.DaemonID, members map[identity.DaemonID]Member) error {
	if r.confirmFromRoots(ctx, roots[:rank], members) {
		return nil
	}
	if r.voteCounts.enter(r.options.Clock()) {
		if err := r.confirmFromMajority(ctx); err == nil {
			return nil
		}
	}
	if r.confirmFromRoots(ctx, roots[rank+1:], members) {
		return nil
	}
	return errNoMajority
}

// confirmFromRoots asks roots until one has a confirmation that isn't old.
func (r *Runner) confirmFromRoots(ctx context.Context, roots []identity.DaemonID, members map[identity.DaemonID]Member) bool {
	for _, root := range roots {
		err := r.confirmFromPeer(ctx, members[root])
		if err == nil && r.confirmedWithin(r.options.IsolationLimit/2) {
			return true
		}
	}
	return false
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

// confirmFromMajority asks daemons for their newest revision until a majority has
// answered, takes the newest, and records a confirmation.
func (r *Runner) confirmFromMajority(ctx context.Context) error {
	asked := r.options.Clock()
	own := r.Status()
	ownVote := revision.Vote{Revision: own.Head.Revision, Provisional: own.Provisional}
	size := r.options.Peers.Size()
	votes := r.collectVotes(ctx, func(votes []vote) bool {
		_, majority := tally(ownVote, votes, size)
		return majority
	})
	newest, majority := tally(ownVote, votes, size)
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

func tally(own revision.Vote, votes []vote, size int) (identity.Revision, bool) {
	counted := make([]revision.Vote, 0, len(votes)+1)
	counted = append(counted, own)
	for _, cast := range votes {
		counted = append(counted, cast.Vote)
	}
	return revision.Tally(counted, size)
}

// collectVotes asks the other daemons for their votes, some at a time and from a
// random one on, until there are enough.
func (r *Runner) collectVotes(ctx context.Context, enough func(votes []vote) bool) []vote {
	members := r.options.Peers.Members()
	if len(members) == 0 {
		return nil
	}
	first := int(r.options.Random()*float64(len(members))) % len(members)
	members = slices.Concat(members[first:], members[:first])
	var votes []vote
	for chunk := range slices.Chunk(members, r.options.CallsAtOnce) {
		votes = append(votes, r.askVotes(ctx, chunk)...)
		if enough(votes) {
			break
		}
	}
	return votes
}

// askVotes asks daemons at the same time. Those that don't answer are left out.
func (r *Runner) askVotes(ctx context.Context, members []Member) []vote {
	var mutex sync.Mutex
	var votes []vote
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	forEach(members, r.options.CallsAtOnce, func(member Member) {
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
