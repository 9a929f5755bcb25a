package streamorigin

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/port/porttest"
	"github.com/lotusward/lotusward/internal/presence"
)

// lookTime is how long the calls of one look at the store take in tests.
const lookTime = 10 * time.Millisecond

var (
	errNoRow  = errors.New("no row")
	errNoList = errors.New("no list")
)

// verifierPlay is a Verifier before a store that takes lookTime for a call, and fails as a test says. It implements port.TableService.
type verifierPlay struct {
	*porttest.Service
	*Verifier
	registry *Registry
	daemons  int
	era      uint64

	mutex              sync.Mutex
	rowError, refError error
	// began are the times at which looks began.
	began     []time.Time
	refreshed int
}

func newVerifierPlay(daemons int) *verifierPlay {
	made := &verifierPlay{Service: porttest.NewService(), daemons: daemons}
	node := peerlinktest.NewNetwork(1).Add("10.0.0.1:1")
	made.registry = New(Options{
		Link: node, Topology: peerlink.Topology{Others: func() []string { return nil }}, Presence: presence.New(), Log: logging.Discard(),
	})
	made.registry.NotifyBackendsListed([]backendpool.Backend{backendOf("v1")}, nil)
	made.Verifier = NewVerifier(VerifierOptions{
		Table: made, Refresh: made.refresh, Registry: made.registry, Era: func() uint64 { return made.era },
		Daemons: func() int { return made.daemons }, Log: logging.Discard(),
	})
	return made
}

// Commit implements port.TableService.
func (p *verifierPlay) Commit(ctx context.Context, transaction port.Transaction) ([]port.Row, error) {
	p.mutex.Lock()
	p.began = append(p.began, time.Now())
	failure := p.rowError
	p.mutex.Unlock()
	time.Sleep(lookTime)
	if failure != nil {
		return nil, failure
	}
	return p.Service.Commit(ctx, transaction)
}

func (p *verifierPlay) refresh(context.Context) error {
	p.mutex.Lock()
	p.refreshed++
	failure := p.refError
	p.mutex.Unlock()
	time.Sleep(lookTime)
	return failure
}

// fail sets how the calls of looks fail.
func (p *verifierPlay) fail(row, list error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rowError, p.refError = row, list
}

func (p *verifierPlay) looks() []time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]time.Time(nil), p.began...)
}

// write writes or removes the row.
func (p *verifierPlay) write(t *testing.T, written port.Write) {
	t.Helper()
	written.Key = RowKey
	_, err := p.Service.Commit(context.Background(), port.Transaction{Writes: []port.Write{written}})
	assert.NilError(t, err)
}

// verifyNow verifies the list as of now.
func (p *verifierPlay) verifyNow() error { return p.Verify(context.Background(), clock.Now()) }

// lose makes the daemon lose contact.
func (p *verifierPlay) lose() {
	p.registry.mutex.Lock()
	p.registry.contact.missedAt = p.registry.options.Now()
	p.registry.mutex.Unlock()
	time.Sleep(time.Millisecond)
}

// TestCallsDuringALookShareTheNextOne guards against a look at the store for each stream that is continued after a zone's crash, and
// against answers of a look that began before the stream was continued.
func TestCallsDuringALookShareTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := newVerifierPlay(3)
		go func() { _ = play.verifyNow() }()
		time.Sleep(lookTime / 2)
		var waiting sync.WaitGroup
		for range 100 {
			since := clock.Now()
			waiting.Go(func() {
				assert.Check(t, play.Verify(context.Background(), since))
				looks := play.looks()
				assert.Check(t, len(looks) == 2 && !looks[1].Before(since), "%v", looks)
			})
			time.Sleep(lookTime / 300)
		}
		waiting.Wait()
		assert.Equal(t, len(play.looks()), 2)
		assert.Equal(t, play.refreshed, 2)
	})
}

// TestLookThatBeganLaterCounts checks that a caller which began before the last look needs no further one.
func TestLookThatBeganLaterCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := newVerifierPlay(3)
		since := clock.Now()
		time.Sleep(time.Millisecond)
		assert.NilError(t, play.verifyNow())
		began := time.Now()
		assert.NilError(t, play.Verify(context.Background(), since))
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, len(play.looks()), 1)
	})
}

// TestLooksAreSpaced guards against a fleet that asks the store more than a hundred times a second.
func TestLooksAreSpaced(t *testing.T) {
	for _, daemons := range []int{1, 3, 20, 300, 985} {
		synctest.Test(t, func(t *testing.T) {
			play := newVerifierPlay(daemons)
			for range 20 {
				assert.NilError(t, play.verifyNow())
			}
			looks := play.looks()
			assert.Equal(t, len(looks), 20)
			for at := range looks[1:] {
				apart := looks[at+1].Sub(looks[at])
				assert.Equal(t, apart, max(20*time.Millisecond, time.Duration(daemons)*10*time.Millisecond))
			}
		})
	}
}

// TestFailedLookVerifiesNothing lets either call of a look fail.
func TestFailedLookVerifiesNothing(t *testing.T) {
	for name, each := range map[string]struct{ row, list error }{
		"the row": {row: errNoRow}, "the list": {list: errNoList}, "both": {row: errNoRow, list: errNoList},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				play := newVerifierPlay(3)
				play.write(t, port.Write{Value: rowOf(t, record{})})
				play.lose()
				play.fail(each.row, each.list)
				err := play.verifyNow()
				assert.Assert(t, each.row == nil || errors.Is(err, each.row), "%v", err)
				assert.Assert(t, each.list == nil || errors.Is(err, each.list), "%v", err)
				assert.Assert(t, play.registry.missed())
				play.fail(nil, nil)
				assert.NilError(t, play.verifyNow())
				assert.Assert(t, !play.registry.missed())
			})
		})
	}
}

// TestContactThatIsLostDuringALookStaysLost guards against a look at the store that began before contact was lost.
func TestContactThatIsLostDuringALookStaysLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := newVerifierPlay(3)
		play.write(t, port.Write{Value: rowOf(t, record{})})
		done := make(chan error)
		go func() { done <- play.verifyNow() }()
		time.Sleep(lookTime / 2)
		play.lose()
		assert.NilError(t, <-done)
		assert.Assert(t, play.registry.missed())
		assert.NilError(t, play.verifyNow())
		assert.Assert(t, !play.registry.missed())
	})
}

// TestVerifyEndsWithItsContext checks that a caller waits no longer than it may, and that the look goes on for others.
func TestVerifyEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := newVerifierPlay(3)
		began, since := time.Now(), clock.Now()
		bounded, cancel := context.WithTimeout(context.Background(), lookTime/2)
		defer cancel()
		assert.ErrorIs(t, play.Verify(bounded, since), context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), lookTime/2)
		assert.NilError(t, play.Verify(context.Background(), since))
		assert.Equal(t, len(play.looks()), 1)
	})
}

// rowOf returns the encoded row with some versions.
func rowOf(t *testing.T, stored record) []byte {
	stored.Format = recordFormat
	stored.Services = []recordedService{{Service: testService, Versions: []identity.SoftwareVersion{"v1", "v2"}}}
	value, err := msgpack.Marshal(stored)
	assert.NilError(t, err)
	return value
}

// TestVerifierReadsTheRecordOfVersions draws the row as another daemon, or another writer, may have left it.
func TestVerifierReadsTheRecordOfVersions(t *testing.T) {
	for name, each := range map[string]struct {
		value []byte
		// several and complete are what is known afterwards, and fails is set if versions may be missing of which the daemon, which was out
		// of contact, has not heard.
		several, complete, fails bool
	}{
		"of this era":       {value: rowOf(t, record{Era: 7}), several: true, complete: true},
		"of an earlier era": {value: rowOf(t, record{Era: 6}), several: true, fails: true},
		"partial":           {value: rowOf(t, record{Era: 7, Partial: true}), several: true, fails: true},
		"missing":           {fails: true},
		"no msgpack":        {value: []byte("?"), fails: true},
		"of no format":      {value: []byte{0x80}, fails: true},
		"empty":             {value: []byte{}, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				play := newVerifierPlay(3)
				play.era = 7
				if each.value != nil {
					play.write(t, port.Write{Value: each.value})
				}
				for range 2 {
					play.lose()
					err := play.verifyNow()
					assert.Equal(t, err != nil, each.fails, "%v", err)
					known := play.registry.evidence(testService)
					assert.Equal(t, known.several, each.several)
					assert.Equal(t, known.complete, each.complete)
					assert.Equal(t, known.current, !each.fails)
				}
			})
		})
	}
}

// TestRemovedRecordTakesNothingBack guards against forgetting versions, and against verifying any, while the row is gone.
func TestRemovedRecordTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := newVerifierPlay(3)
		play.write(t, port.Write{Value: rowOf(t, record{})})
		assert.NilError(t, play.verifyNow())
		play.write(t, port.Write{Delete: true})
		for range 2 {
			play.lose()
			assert.ErrorIs(t, play.verifyNow(), errUnproven)
			known := play.registry.evidence(testService)
			assert.Assert(t, known.several && known.complete && !known.current, "%+v", known)
		}
		play.write(t, port.Write{Value: rowOf(t, record{})})
		assert.NilError(t, play.verifyNow())
		assert.Assert(t, play.registry.evidence(testService).current)
	})
}
