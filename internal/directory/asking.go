package directory

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/pause"
)

// Times and numbers of asking other daemons.
const (
	// askedAtOnce is how many daemons a starting one asks in a round, and askStagger after how long it asks the next one
	// while no answer has begun: two whole answers at a time would take its link twice.
	askedAtOnce = 2
	askStagger  = 100 * time.Millisecond
	// askPause lies between two rounds of questions.
	askPause = 60 * time.Millisecond
	// A starting daemon reads the store itself after a drawn time of up to joinSpread and
	// joinPerDaemon times the number of daemons, longestJoin at most: where all start at
	// once, a few of them are first, and the others hear of these and ask them.
	joinSpread    = 50 * time.Millisecond
	joinPerDaemon = 20 * time.Millisecond
	longestJoin   = 1500 * time.Millisecond
	// joinExtension is how much longer it waits once it has heard of a daemon that reads.
	joinExtension = time.Second
	// otherAsks is how many other daemons are asked where those that surely know are busy.
	otherAsks = 4
	// askersEach is how many daemons ask the same one for a new configuration, so that a
	// slow link carries no more.
	askersEach = 8
)

// lag is what this daemon lacks of a table, and who told so.
type lag struct {
	from  string
	table table
	need  Have
}

// fallBehind has another daemon asked for what this one lacks.
func (d *Directory) fallBehind(lacking lag) {
	d.lag.Store(&lacking)
	select {
	case d.behind <- struct{}{}:
	default:
	}
}

// Noticed tells of a daemon that is alive, which one that knows nothing yet can ask.
func (d *Directory) Noticed(address string) {
	if !d.Complete() {
		d.fallBehind(lag{from: address})
	}
}

// catchUp asks other daemons whenever this one has fallen behind, and reads the store
// itself where none of them helps.
func (d *Directory) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.behind:
		}
		lacking := d.lag.Load()
		if err := d.askInTurn(ctx, lacking); err != nil && d.Complete() && lacking.table != "" {
			d.options.Log.WithError(err).WithField("table", lacking.table).Info("No daemon tells what this one lacks, which reads the store for it.")
			d.turn.want(lacking.table)
		}
		pause.For(ctx, askPause)
	}
}

// askInTurn asks the daemon whose turn it is to tell this one, then the one that is known
// to have what is lacking, and then any others: the first ones may be busy with many. It
// returns the last one's error where none helped.
func (d *Directory) askInTurn(ctx context.Context, lacking *lag) error {
	if d.options.Peers == nil {
		return &LackingError{Address: lacking.from}
	}
	asked := []string{lacking.from}
	if parent := d.askedFor(lacking.from); parent != lacking.from && d.Complete() {
		asked = []string{parent, lacking.from}
	}
	asked = append(asked, d.anyOthers()...)
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
func (d *Directory) caughtUp(lacking *lag) bool {
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

// errNobodyKnown is returned where there is no daemon to ask.
var errNobodyKnown = errors.New("no other daemon is known")

// LackingError says that another daemon doesn't know what this one needs.
type LackingError struct {
	// Address is the other daemon's.
	Address string
}

func (e *LackingError) Error() string { return e.Address + " does not know it" }

// ask takes in what one daemon believes. Begun is called once its answer has begun; it may be nil. Without an error that is what this daemon needs;
// otherwise the error is a LackingError, the context's, or that of the call.
func (d *Directory) ask(ctx context.Context, address string, need Have, begun func()) error {
	have := d.have()
	have.NeedRowVersion, have.NeedBackendsTo = need.NeedRowVersion, need.NeedBackendsTo
	asked := clock.Now()
	update, err := d.options.Peers.Update(ctx, address, have, begun)
	if err != nil {
		return err
	}
	snapshot := update.Snapshot
	list, err := newsOf(&update)
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

// join finds other daemons at the start, and takes over what they believe. A daemon that
// finds none that knows more reads the store itself.
func (d *Directory) join(ctx context.Context) {
	defer d.turn.open()
	if d.options.Contacts == nil {
		return
	}
	retries := d.newRetrying()
	retries.spread = joinFailurePause
	for ctx.Err() == nil {
		contacts, about, err := d.options.Contacts.Find(ctx)
		if err == nil {
			d.askUntil(ctx, contacts, clock.Now().Add(joinDelay(len(contacts), about)+d.joinHandicap(contacts)))
			return
		}
		d.options.Log.WithError(err).Warn("No other daemons are found at the start.")
		retries.after(ctx, err)
		if d.Complete() {
			d.turn.open()
		}
	}
}

// joinDelay is how long a starting daemon asks others before it reads the store.
//
// How many daemons have begun to read grows as the time since the start goes on, from one at first to all in the end, by
// the same factor in each part of it: the first has read and told what it read before more than a few others have begun,
// however many there are. Drawn evenly, 130 of 985 would begin within 0.2 s, and read thousands of rows each.
func joinDelay(contacts, about int) time.Duration {
	if contacts == 0 {
		return rand.N(joinSpread)
	}
	longest := min(joinSpread+time.Duration(about)*joinPerDaemon, longestJoin)
	drawn := 1 - rand.Float64() // above zero
	share := 1 + math.Log(drawn)/math.Log(float64(max(about, 2)))
	return time.Duration(max(share, 0) * float64(longest))
}

// askUntil asks daemons, a few at a time, until this one knows what they believe, or
// until a time. It waits longer once another daemon has told what it reads.
func (d *Directory) askUntil(ctx context.Context, contacts []string, until time.Time) {
	extended, round := false, 0
	var lastError error
	for ctx.Err() == nil && !d.Complete() {
		if waited := d.waited.Load(); waited != nil && clock.Since(*waited) < joinExtension+d.options.Interval {
			pause.For(ctx, askPause) // there is nothing to ask for yet
			continue
		}
		if told := d.lag.Load(); told != nil && told.from != "" && !extended {
			extended = true
			until = until.Add(joinExtension)
			contacts = append(contacts, told.from)
		}
		if !clock.Now().Before(until) {
			d.options.Log.WithError(lastError).WithField("asked", len(contacts)).Info("No daemon tells what it believes.")
			return
		}
		rand.Shuffle(len(contacts), func(left, right int) { contacts[left], contacts[right] = contacts[right], contacts[left] })
		if round < nearRounds {
			d.nearFirst(contacts)
		}
		round++
		if lastError = d.askAny(ctx, contacts[:min(askedAtOnce, len(contacts))]); lastError == nil {
			return
		}
		pause.For(ctx, min(askPause, clock.Until(until)))
	}
}

// askAny asks daemons, the next one where the one before has failed or is slow to begin its answer. It returns as soon as
// one told what it believes, or the last error where none did.
func (d *Directory) askAny(ctx context.Context, addresses []string) error {
	told := make(chan error, len(addresses))
	begun := make(chan struct{}, len(addresses))
	err := errNobodyKnown
	asked, answered := 0, 0
	for answered < asked || asked < len(addresses) {
		var stagger <-chan time.Time
		if asked < len(addresses) {
			address := addresses[asked]
			go func() { told <- d.ask(ctx, address, Have{}, func() { begun <- struct{}{} }) }()
			asked++
			stagger = time.After(askStagger)
		}
		select {
		case err = <-told:
			answered++
		case <-begun:
			err = <-told
			answered++
		case <-stagger:
			continue
		}
		if err == nil {
			return nil
		}
	}
	return err
}
