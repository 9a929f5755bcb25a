package directory

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/pause"
)

// keptContacts bounds the daemons that a starting one knows to ask.
const keptContacts = 32

// BusyError says that a daemon answers others now, and names some that it has told what it believes.
type BusyError struct {
	Address string
	// Others are their addresses.
	Others []string
}

// Error implements error.
func (e *BusyError) Error() string { return e.Address + " answers others" }

// contacts are the daemons that a starting one can ask, those that most likely know last. It is safe for use by several
// goroutines.
type contacts struct {
	mutex     sync.Mutex
	addresses []string
	// readerAt is when a daemon that reads the store was last heard of.
	readerAt time.Time
	// added counts those that were not known before.
	added int
}

// noticed adds a daemon that is alive, of which it is not known whether it knows anything.
func (c *contacts) noticed(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.addresses) < keptContacts && !slices.Contains(c.addresses, address) {
		c.addresses = slices.Insert(c.addresses, 0, address)
		c.added++
	}
}

// add adds daemons that most likely know. Where there are too many, those that were told of first are forgotten.
func (c *contacts) add(addresses ...string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, address := range addresses {
		at := slices.Index(c.addresses, address)
		if at >= 0 {
			c.addresses = slices.Delete(c.addresses, at, at+1)
		} else {
			c.added++
		}
		c.addresses = append(c.addresses, address)
	}
	c.addresses = slices.Clone(c.addresses[max(len(c.addresses)-keptContacts, 0):])
}

// reads notes that a daemon reads the store.
func (c *contacts) reads(now time.Time, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readerAt = now
	if !slices.Contains(c.addresses, address) {
		c.addresses = append(c.addresses, address)
		c.added++
	}
}

// heardReader is when a daemon that reads was last heard of.
func (c *contacts) heardReader() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.readerAt
}

// drawn returns the contacts in a drawn order, those that most likely know mostly first, and how many were ever added.
func (c *contacts) drawn() ([]string, int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	likely := slices.Clone(c.addresses[len(c.addresses)/2:])
	others := slices.Clone(c.addresses[:len(c.addresses)/2])
	for _, list := range [][]string{likely, others} {
		rand.Shuffle(len(list), func(left, right int) { list[left], list[right] = list[right], list[left] })
	}
	return append(likely, others...), c.added
}

// join finds other daemons at the start, and takes over what they believe. A daemon that
// finds none that knows more reads the store itself, and goes on asking meanwhile.
func (d *Directory) join(ctx context.Context) {
	defer d.turn.open()
	if d.options.Contacts == nil {
		return
	}
	retries := d.newRetrying()
	retries.spread = joinFailurePause
	for ctx.Err() == nil {
		found, about, err := d.options.Contacts.Find(ctx)
		if err == nil {
			d.contacts.add(found...)
			d.askUntil(ctx, clock.Now().Add(joinDelay(len(found), about)+d.joinHandicap(found)))
			return
		}
		d.options.Log.WithError(err).Warn("No other daemons are found at the start.")
		retries.after(ctx, err)
		if d.Complete() {
			d.turn.open()
		}
	}
}

// askUntil asks daemons until this one knows what they believe. From a time on it reads the store as well, later where
// another daemon is heard of that does.
func (d *Directory) askUntil(ctx context.Context, until time.Time) {
	began, asks := clock.Now(), asking{pause: askPause}
	for ctx.Err() == nil && !d.Complete() {
		now := clock.Now()
		if !now.Before(d.extended(began, until)) && !asks.reads {
			asks.reads = true
			d.options.Log.WithError(asks.err).WithField("asked", asks.asked).Info("No daemon tells what it believes.")
			d.turn.open()
		}
		if waited := d.waited.Load(); waited != nil && clock.Since(*waited) < joinExtension+d.options.Interval {
			pause.For(ctx, askPause) // there is nothing to ask for yet
			continue
		}
		d.askRound(ctx, &asks)
		if !d.Complete() {
			d.pauseAsking(ctx, &asks, until)
		}
	}
}

// asking is how a starting daemon has asked so far.
type asking struct {
	rounds, asked int
	// pause is the next one, and known how many contacts there had ever been.
	pause time.Duration
	known int
	// reads is set once this daemon reads the store itself, and err is the last round's.
	reads bool
	err   error
}

// askRound asks a few daemons.
func (d *Directory) askRound(ctx context.Context, asks *asking) {
	drawn, known := d.contacts.drawn()
	if asks.rounds < nearRounds {
		d.nearFirst(drawn)
	}
	drawn = drawn[:min(askedAtOnce, len(drawn))]
	asks.rounds++
	asks.asked += len(drawn)
	asks.err = d.askAny(ctx, drawn)
	asks.pause = min(2*asks.pause, longestAskPause)
	if known > asks.known {
		asks.known, asks.pause = known, askPause
	}
}

// pauseAsking waits for the next round. Hundreds of daemons that start together would otherwise ask the first that knows
// so often that it can't answer.
func (d *Directory) pauseAsking(ctx context.Context, asks *asking, until time.Time) {
	wait := asks.pause/2 + rand.N(asks.pause)
	if left := clock.Until(until); !asks.reads && left > 0 {
		wait = min(wait, left)
	}
	pause.For(ctx, wait)
}

// extended is until when a starting daemon waits for others: until a time, and longer while one that reads is heard of.
func (d *Directory) extended(began, until time.Time) time.Time {
	reader := d.contacts.heardReader()
	if reader.IsZero() {
		return until
	}
	extended := reader.Add(joinExtension + d.options.Interval)
	if longest := began.Add(longestExtension); extended.After(longest) {
		extended = longest
	}
	return later(until, extended)
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
