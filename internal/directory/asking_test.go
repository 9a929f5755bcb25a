package directory

import (
	"context"
	"errors"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/logging"
)

// peersWithoutData answer every request with an incomplete snapshot.
type peersWithoutData struct{}

func (peersWithoutData) Update(context.Context, string, Have, func()) (Update, error) {
	return Update{}, nil
}

// TestLogSaysWhyNobodyHelped guards against a read of the store that the log doesn't explain: no daemon has the
// missing data, and the log names the table and the last error.
func TestLogSaysWhyNobodyHelped(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	follower := New(Options{
		Pool: backendpool.New("a"), Log: log, Self: "b", Broadcast: func(Bulletin) {}, Peers: peersWithoutData{},
	})
	declared := declaration(10, 7)
	follower.apply(message{table: tableDeclared, began: time.Now(), ended: time.Now(), declared: &declared})
	follower.listed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.catchUp(ctx)
	follower.requestMissing(missingData{from: "a", table: tableDeclared, need: Have{NeedRowVersion: 12}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, line := range lines.AllEntries() {
			if line.Data["table"] == tableDeclared && line.Data["error"] != nil {
				return poll.Success()
			}
		}
		return poll.Continue("the log has no line with the table and the error")
	}, poll.WithDelay(5*time.Millisecond))
	assert.ErrorType(t, follower.ask(ctx, "a", Have{NeedRowVersion: 12}, nil), &LackingError{})
}

// TestFewStartersReadTheStore guards against a rush on the store when many daemons start together: few have begun
// to read by the time the first one has broadcast its data, whatever the fleet's size.
func TestFewStartersReadTheStore(t *testing.T) {
	const toldAfter, rounds = 150 * time.Millisecond, 50
	for _, count := range []int{100, 985, 2_000, 10_000} {
		began, first := 0, maxJoinDelay
		for range rounds * count {
			delay := joinDelay(10, count)
			if delay < toldAfter {
				began++
			}
			first = min(first, delay)
			assert.Assert(t, delay <= maxJoinDelay)
		}
		mean := float64(began) / rounds
		t.Logf("of %d daemons %.1f begin within %s", count, mean, toldAfter)
		assert.Assert(t, mean < 6, "%.1f of %d begin", mean, count)
		assert.Assert(t, first == 0)
	}
}

// singlePeer answers for one address with a reader's data; all other daemons are gone.
type singlePeer struct {
	reader  *Directory
	knowing string
}

func (p singlePeer) Update(_ context.Context, address string, have Have, begun func()) (Update, error) {
	if address != p.knowing {
		return Update{}, errors.New("gone")
	}
	if begun != nil {
		begun()
	}
	return update(p.reader, have), nil
}

// fixedContacts finds the daemons at fixed addresses, whose rows were left behind.
type fixedContacts []string

func (r fixedContacts) Find(context.Context) ([]string, int, error) { return r, len(r) + 1, nil }

// failingContacts finds no daemons, since the store refuses the call.
type failingContacts struct{}

func (failingContacts) Find(context.Context) ([]string, int, error) {
	return nil, 0, errors.New("the store refuses")
}

// TestStarterAsksWhomItHears guards against a starting daemon that only asks the daemons of stale rows, and so gets
// no configuration as long as it hears of a reader. It must ask a daemon that it hears from, whether the contacts
// found are gone or none could be found.
func TestStarterAsksWhomItHears(t *testing.T) {
	for name, contacts := range map[string]Contacts{"rows of gone daemons": fixedContacts{"a", "b", "c"}, "no rows": failingContacts{}} {
		t.Run(name, func(t *testing.T) {
			starter := New(Options{
				Pool: backendpool.New("a"), Log: logging.Discard(), Self: "self", Contacts: contacts,
				Peers: singlePeer{reader: newListReader(listOf(3)), knowing: "heard"}, Broadcast: func(Bulletin) {},
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go starter.join(ctx)
			go func() {
				for ctx.Err() == nil {
					select {
					case got := <-starter.messages:
						starter.apply(got)
					case <-ctx.Done():
					}
				}
			}()
			time.Sleep(200 * time.Millisecond)
			starter.contacts.noteReader(time.Now(), "c")
			starter.NoteContact("heard")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if starter.Complete() {
					return poll.Success()
				}
				return poll.Continue("it knows nothing")
			}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
		})
	}
}

// TestOnlyStartersDrawWhenToCallAgain guards against starting daemons that retry together after a rate limit: their
// pauses spread over a growing time, while the reader retries after the store's retry delay.
func TestOnlyStartersDrawWhenToCallAgain(t *testing.T) {
	const told = time.Second
	reader := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "a"}).newRetryPacer()
	starters := make([]*retryPacer, 200)
	for index := range starters {
		starters[index] = New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "a"}).newRetryPacer()
		starters[index].amongMany = true
	}
	for call := range 6 {
		assert.Equal(t, reader.randomSpread(told), time.Duration(0))
		first, last := time.Hour, time.Duration(0)
		for _, starter := range starters {
			drawn := starter.randomSpread(told)
			first, last = min(first, drawn), max(last, drawn)
		}
		bound := limitedSpreadFactor * told << min(call, maxLimitedDoublings)
		assert.Assert(t, first < bound/4 && last > bound*3/4 && last < bound, "%v to %v of %v", first, last, bound)
	}
}

// TestStartersWaitWhileNothingIsDeclared guards against starting daemons that all read the store while operators
// have declared nothing: the reader announces that for longer than they would wait otherwise.
func TestStartersWaitWhileNothingIsDeclared(t *testing.T) {
	const interval, delay = 50 * time.Millisecond, 20 * time.Millisecond
	starter := New(Options{Pool: backendpool.New("a"), Log: logging.Discard(), Self: "self", Broadcast: func(Bulletin) {}, Interval: interval})
	ended := make(chan time.Time, 1)
	go func() {
		starter.awaitAnswer(context.Background(), delay)
		ended <- time.Now()
	}()
	last := time.Now()
	for range 50 {
		last = time.Now()
		starter.applyBulletin(last, heardBulletin{from: "reader", bulletin: Bulletin{Declared: &DeclaredNews{Clock: time.Minute}}})
		time.Sleep(delay)
	}
	assert.Equal(t, len(ended), 0)
	assert.Assert(t, (<-ended).Sub(last) >= joinExtension+interval)
}
