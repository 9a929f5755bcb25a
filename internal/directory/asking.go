package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/pause"
)

// Times and numbers of asking other daemons.
const (
	// maxConcurrentAsks is how many daemons a starting one asks in a round, and askStagger after how long it asks the next one
	// while no answer has begun: two whole answers at a time would take its link twice.
	maxConcurrentAsks = 2
	askStagger        = 100 * time.Millisecond
	// askPause lies between two rounds of questions. A starting daemon doubles it with each round that brings nobody new to
	// ask, up to longestAskPause.
	askPause    = 60 * time.Millisecond
	maxAskPause = time.Second
	// A starting daemon reads the store itself after a drawn time of up to joinSpread and
	// joinPerDaemon times the number of daemons, longestJoin at most: where all start at
	// once, a few of them are first, and the others hear of these and ask them.
	joinSpread    = 50 * time.Millisecond
	joinPerDaemon = 20 * time.Millisecond
	maxJoinDelay  = 1500 * time.Millisecond
	// joinExtension is how much longer it waits since it has last heard of a daemon that reads, longestExtension in all: a
	// list of thousands takes a small machine seconds.
	joinExtension    = time.Second
	maxJoinExtension = 10 * time.Second
	// fallbackAsks is how many other daemons are asked where those that surely know are busy.
	fallbackAsks = 4
	// treeFanOut is how many daemons ask the same one for a new configuration, so that a
	// slow link carries no more.
	treeFanOut = 8
)

// missingData is what this daemon lacks of a table, and who told so.
type missingData struct {
	from  string
	table table
	need  Have
}

// requestMissing has another daemon asked for what this one lacks.
func (d *Directory) requestMissing(lacking missingData) {
	d.missing.Store(&lacking)
	select {
	case d.catchUpRequested <- struct{}{}:
	default:
	}
}

// NoteContact tells of a daemon that is alive, which one that knows nothing yet can ask.
func (d *Directory) NoteContact(address string) {
	if !d.Complete() {
		d.contacts.noticed(address)
	}
}

// catchUp asks other daemons whenever this one has fallen behind, and reads the store
// itself where none of them helps. One that knows nothing yet asks on its own, see join.
func (d *Directory) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.catchUpRequested:
		}
		lacking := d.missing.Load()
		if err := d.askCandidates(ctx, lacking); err != nil && d.Complete() && lacking.table != "" {
			d.options.Log.WithError(err).WithField("table", lacking.table).Info("No daemon tells what this one lacks, which reads the store for it.")
			d.role.requestRead(lacking.table)
		}
		pause.For(ctx, askPause)
	}
}

// askCandidates asks the daemon whose turn it is to tell this one, then the one that is known
// to have what is lacking, and then any others: the first ones may be busy with many. It
// returns the last one's error where none helped.
func (d *Directory) askCandidates(ctx context.Context, lacking *missingData) error {
	if d.options.Peers == nil {
		return &LackingError{Address: lacking.from}
	}
	asked := []string{lacking.from}
	if parent := d.upstreamOf(lacking.from); parent != lacking.from && d.Complete() {
		asked = []string{parent, lacking.from}
	}
	asked = append(asked, d.randomPeers()...)
	var err error
	for round, address := range asked {
		if round > 0 {
			pause.For(ctx, rand.N(2*askPause))
		}
		if round > 0 && d.caughtUp(lacking) {
			return nil
		}
		if err = d.ask(ctx, address, lacking.need, nil); err == nil {
			return nil
		}
	}
	return err
}

// caughtUp tells whether bulletins have told meanwhile what was lacking.
func (d *Directory) caughtUp(lacking *missingData) bool {
	if !d.Complete() {
		return false
	}
	switch lacking.table {
	case tableDeclared:
		return d.state.Load().RowVersion >= lacking.need.NeedRowVersion
	case tableBackends:
		return d.positions[tableBackends].Load() >= lacking.need.NeedBackendsTo
	default:
		return false
	}
}

// errNoPeers is returned where there is no daemon to ask.
var errNoPeers = errors.New("no other daemon is known")

// LackingError says that another daemon doesn't know what this one needs.
type LackingError struct {
	// Address is the other daemon's.
	Address string
}

func (e *LackingError) Error() string { return e.Address + " does not know it" }

// ask takes in what one daemon believes. Begun is called once its answer has begun; it may be nil. Without an error that is
// what this daemon needs; otherwise the error is a LackingError, the context's, or that of the call.
func (d *Directory) ask(ctx context.Context, address string, need Have, begun func()) error {
	have := d.have()
	have.NeedRowVersion, have.NeedBackendsTo = need.NeedRowVersion, need.NeedBackendsTo
	asked := clock.Now()
	update, err := d.options.Peers.Update(ctx, address, have, begun)
	var busy *BusyError
	if errors.As(err, &busy) && !d.Complete() {
		d.contacts.add(slices.DeleteFunc(busy.Others, func(other string) bool { return other == d.options.Self })...)
	}
	if err != nil {
		return err
	}
	snapshot := update.Snapshot
	list, err := deltaOf(&update)
	if err != nil {
		return err
	}
	if !snapshot.Complete {
		return &LackingError{Address: address}
	}
	if need == (Have{}) && d.Complete() && have.BackendsTo == 0 && have.RowVersion == 0 {
		return nil // another one has answered before
	}
	done := make(chan struct{})
	d.post(ctx, message{adopted: &adoption{from: address, asked: asked, answered: clock.Now(), snapshot: snapshot, list: list, done: done}})
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if have.BackendsTo > 0 && d.wantsWhole.Load() {
		return d.ask(ctx, address, need, begun)
	}
	if snapshot.RowVersion < need.NeedRowVersion || snapshot.BackendsTo < need.NeedBackendsTo {
		return &LackingError{Address: address}
	}
	return nil
}

func (d *Directory) have() Have {
	var have Have
	if state := d.state.Load(); state != nil {
		have.RowVersion = state.RowVersion
	}
	if d.listed.Load() && !d.wantsWhole.Load() {
		have.BackendsTo = d.positions[tableBackends].Load()
	}
	have.MembersTo = d.positions[tableMembers].Load()
	return have
}
