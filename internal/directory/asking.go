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

// Limits on requests to other daemons.
const (
	// maxConcurrentAsks is how many daemons a starting daemon asks in one round. It asks the next one after
	// askStagger if no answer has begun: receiving two whole answers at once would take its link twice as long.
	maxConcurrentAsks = 2
	askStagger        = 100 * time.Millisecond
	// askPause is the pause between two rounds. A starting daemon doubles it after each round that brings no new
	// contact, up to maxAskPause.
	askPause    = 60 * time.Millisecond
	maxAskPause = time.Second
	// A starting daemon reads the store itself after a random delay of up to joinSpread plus joinPerDaemon times
	// the number of daemons, at most maxJoinDelay. When all daemons start at once, a few of them read first, and
	// the others hear of these and ask them.
	joinSpread    = 50 * time.Millisecond
	joinPerDaemon = 20 * time.Millisecond
	maxJoinDelay  = 1500 * time.Millisecond
	// joinExtension is how long a starting daemon goes on waiting after it last heard of a daemon that reads the
	// store, maxJoinExtension in all: a list of thousands of back ends takes a small machine seconds to read.
	joinExtension    = time.Second
	maxJoinExtension = 10 * time.Second
	// fallbackAsks is how many other daemons are asked if those that are known to have the data are busy.
	fallbackAsks = 4
	// treeFanOut is how many daemons ask the same one for a new configuration. It bounds the load on a slow link.
	treeFanOut = 8
)

// missingData describes what this daemon lacks of a table, and which daemon reported it.
type missingData struct {
	from  string
	table table
	need  Have
}

// requestMissing makes catchUp ask another daemon for missing data.
func (d *Directory) requestMissing(lacking missingData) {
	d.missing.Store(&lacking)
	select {
	case d.catchUpRequested <- struct{}{}:
	default:
	}
}

// NoteContact records a live daemon that this one can ask while it has no data yet.
func (d *Directory) NoteContact(address string) {
	if !d.Complete() {
		d.contacts.noticed(address)
	}
}

// catchUp asks other daemons whenever data is missing here, and has the store read if none of them can provide it.
// A daemon that has no data yet asks on its own, see join.
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

// askCandidates asks this daemon's parent in the tree of upstreamOf, then the daemon that is known to have the
// missing data, and then random others, since the first two may be busy with many requests. It returns the last
// error if none helped.
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

// caughtUp reports whether bulletins have brought the missing data meanwhile.
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

// errNoPeers is returned if there is no daemon to ask.
var errNoPeers = errors.New("no other daemon is known")

// LackingError reports that another daemon doesn't have what this one needs.
type LackingError struct {
	// Address is the address of the other daemon.
	Address string
}

func (e *LackingError) Error() string { return e.Address + " doesn't have the requested data" }

// ask fetches an update from one daemon and applies it. It calls begun, which may be nil, once the answer has
// begun. It returns nil only if the update covers need; otherwise the error is a LackingError, the context's error,
// or the error of the call.
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
		return nil // another daemon's answer was applied first
	}
	done := make(chan struct{})
	d.post(ctx, message{adopted: &adoption{from: address, asked: asked, answered: clock.Now(), snapshot: snapshot, list: list, done: done}})
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if have.BackendsTo > 0 && d.needsWholeList.Load() {
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
	if d.listed.Load() && !d.needsWholeList.Load() {
		have.BackendsTo = d.positions[tableBackends].Load()
	}
	have.MembersTo = d.positions[tableMembers].Load()
	return have
}
