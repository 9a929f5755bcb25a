package directory

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/pause"
)

// maxContacts bounds the contacts that a starting daemon remembers.
const maxContacts = 32

// BusyError reports that a daemon is busy answering others, and names some that it has already answered.
type BusyError struct {
	Address string
	// Others are the addresses of daemons that it has answered.
	Others []string
}

// Error implements error.
func (e *BusyError) Error() string { return e.Address + " is busy answering others" }

// contacts are the daemons that a starting daemon can ask. It is safe for use by several goroutines.
type contacts struct {
	mutex     sync.Mutex
	addresses []string
	// readerAt is when a daemon that reads the store was last heard of.
	readerAt time.Time
	// changed has a value once a contact was added that was not known before.
	changed signal
}

// noticed adds a live daemon, unless there are maxContacts already.
func (c *contacts) noticed(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.addresses) < maxContacts {
		c.put(address)
	}
}

// put adds a daemon. The caller holds the mutex.
func (c *contacts) put(address string) {
	if slices.Contains(c.addresses, address) {
		return
	}
	c.addresses = append(c.addresses, address)
	c.changed.notify()
}

// add adds daemons that most likely have the data. If there are too many contacts, the oldest are dropped.
func (c *contacts) add(addresses ...string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, address := range addresses {
		c.put(address)
	}
	c.trim()
}

// trim drops the oldest contacts if there are too many. The caller holds the mutex.
func (c *contacts) trim() {
	c.addresses = slices.Clone(c.addresses[max(len(c.addresses)-maxContacts, 0):])
}

// noteReader records that a daemon reads the store.
func (c *contacts) noteReader(now time.Time, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readerAt = now
	c.put(address)
	c.trim()
}

// forget removes a daemon that doesn't answer and may be gone. It is added again when it is next heard of.
func (c *contacts) forget(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addresses = slices.DeleteFunc(slices.Clone(c.addresses), func(known string) bool { return known == address })
}

// heardReader returns when a daemon that reads the store was last heard of.
func (c *contacts) heardReader() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.readerAt
}

// shuffled returns the contacts in random order.
func (c *contacts) shuffled() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	drawn := slices.Clone(c.addresses)
	rand.Shuffle(len(drawn), func(left, right int) { drawn[left], drawn[right] = drawn[right], drawn[left] })
	return drawn
}

// join finds other daemons at the start and fetches their data. If none provides it in time, this daemon reads the
// store itself, and goes on asking meanwhile.
func (d *Directory) join(ctx context.Context) {
	defer d.role.open()
	if d.options.Contacts == nil {
		return
	}
	go d.askUntilComplete(ctx)
	retries := d.newRetryPacer()
	retries.spread, retries.amongMany = joinFailurePause, true
	for ctx.Err() == nil {
		found, about, err := d.options.Contacts.Find(ctx)
		if err == nil {
			d.contacts.add(found...)
			d.awaitAnswer(ctx, joinDelay(len(found), about)+d.joinHandicap(found))
			return
		}
		d.options.Log.WithError(err).Warn("No other daemons could be found at the start.")
		retries.pauseAfter(ctx, err)
		if d.Complete() {
			d.role.open()
		}
	}
}

// awaitAnswer waits until this daemon has the data of others, or for a delay, which is extended while another
// daemon is heard of that reads the store. After it, this daemon may read the store too. The delay starts over
// while the reader announces that nothing is declared.
func (d *Directory) awaitAnswer(ctx context.Context, delay time.Duration) {
	began := clock.Now()
	for ctx.Err() == nil && !d.Complete() {
		if d.nothingDeclared() {
			began = clock.Now()
			pause.For(ctx, askPause)
			continue
		}
		left := clock.Until(d.joinDeadline(began, delay))
		if left <= 0 {
			d.options.Log.Info("No daemon tells what it believes.")
			return
		}
		pause.For(ctx, min(left, askPause))
	}
}

// askUntilComplete asks daemons until this one has their data.
func (d *Directory) askUntilComplete(ctx context.Context) {
	wait := askPause
	for round := 1; ctx.Err() == nil && !d.Complete(); round++ {
		if d.nothingDeclared() {
			pause.For(ctx, askPause) // there is no data to ask for yet
			continue
		}
		if asked := d.askRound(ctx, round); asked > 0 {
			pause.For(ctx, askPause/2+rand.N(askPause))
		}
		if d.pauseAsking(ctx, wait) {
			wait = askPause
		} else {
			wait = min(2*wait, maxAskPause)
		}
	}
}

// nothingDeclared reports whether the reader has recently announced that operators have declared nothing.
func (d *Directory) nothingDeclared() bool {
	told := d.nothingDeclaredAt.Load()
	return told != nil && clock.Since(*told) < joinExtension+d.options.Interval
}

// askRound asks a few contacts, and returns how many.
func (d *Directory) askRound(ctx context.Context, round int) int {
	drawn := d.contacts.shuffled()
	if round <= nearRounds {
		d.sortByProximity(drawn)
	}
	drawn = drawn[:min(maxConcurrentAsks, len(drawn))]
	err := d.askAny(ctx, drawn)
	if err != nil && len(drawn) > 0 && round&(round-1) == 0 { // logged at rounds 1, 2, 4, 8, ...
		d.options.Log.WithError(err).WithFields(logrus.Fields{"asked": drawn, "round": round}).Info("Other daemons were asked in vain.")
	}
	return len(drawn)
}

// pauseAsking waits for the next round. A new contact ends the wait early, and it then returns true. Without the
// pause, hundreds of daemons that start together would overload the first one that has the data.
func (d *Directory) pauseAsking(ctx context.Context, about time.Duration) bool {
	timer := time.NewTimer(about/2 + rand.N(about))
	defer timer.Stop()
	select {
	case <-d.contacts.changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// joinDeadline returns until when a starting daemon waits for others: for its delay, and longer while a daemon that
// reads the store is heard of. The delay is added again after the extension, since all that wait have heard of the
// same reader at the same time.
func (d *Directory) joinDeadline(began time.Time, delay time.Duration) time.Time {
	reader := d.contacts.heardReader()
	if reader.IsZero() {
		return began.Add(delay)
	}
	extended := reader.Add(joinExtension + d.options.Interval)
	if longest := began.Add(maxJoinExtension); extended.After(longest) {
		extended = longest
	}
	return later(began, extended).Add(delay)
}

// joinDelay returns how long a starting daemon asks others before it reads the store.
//
// The number of daemons that have begun to read grows exponentially with time, from one at first to all in the end:
// the first has read and broadcast its data before more than a few others have begun, however many there are. With
// a uniform distribution, a fixed share of all daemons would have begun by then, each reading all rows.
func joinDelay(contacts, about int) time.Duration {
	if contacts == 0 {
		return rand.N(joinSpread)
	}
	longest := min(joinSpread+time.Duration(about)*joinPerDaemon, maxJoinDelay)
	drawn := 1 - rand.Float64() // above zero
	share := 1 + math.Log(drawn)/math.Log(float64(max(about, 2)))
	return time.Duration(max(share, 0) * float64(longest))
}

// askContact asks a daemon at the start, and removes it from the contacts if it doesn't answer.
func (d *Directory) askContact(ctx context.Context, address string, begun func()) error {
	err := d.ask(ctx, address, Have{}, begun)
	var lacking *LackingError
	var busy *BusyError
	if err != nil && !errors.As(err, &lacking) && !errors.As(err, &busy) {
		d.contacts.forget(address)
	}
	return err
}

// askAny asks daemons in order, the next one if the one before has failed or is slow to begin its answer. It
// returns nil as soon as one has provided its data, or the last error if none did.
func (d *Directory) askAny(ctx context.Context, addresses []string) error {
	told := make(chan error, len(addresses))
	begun := make(chan struct{}, len(addresses))
	err := errNoPeers
	asked, answered := 0, 0
	for answered < asked || asked < len(addresses) {
		var stagger <-chan time.Time
		if asked < len(addresses) {
			address := addresses[asked]
			go func() { told <- d.askContact(ctx, address, func() { begun <- struct{}{} }) }()
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
