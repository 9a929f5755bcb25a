package engine

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// batchesKept is how many batches of cache events can be read again.
const batchesKept = 4096

// eventPoll is how often a stream of cache events looks for due ones.
const eventPoll = 20 * time.Millisecond

// eventLog keeps the newest batches of cache events of one life.
type eventLog struct {
	incarnation identity.Incarnation
	lateness    time.Duration
	gaps        float64

	mutex    sync.Mutex
	random   *rand.Rand
	sequence uint64
	batches  []loggedBatch
}

// loggedBatch is a batch with the time from which it is published.
type loggedBatch struct {
	batch enginewire.CacheEventBatch
	dueAt time.Time
}

func newEventLog(options Options, incarnation identity.Incarnation) *eventLog {
	return &eventLog{
		incarnation: incarnation,
		lateness:    options.EventLateness,
		gaps:        options.EventGapProbability,
		random:      rand.New(rand.NewPCG(options.Seed, uint64(incarnation))),
	}
}

// append numbers a batch and keeps it, unless it falls into a gap.
func (l *eventLog) append(now time.Time, events []enginewire.CacheEvent, faults backend.Faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	if l.random.Float64() < max(l.gaps, faults.EventGapProbability) {
		return
	}
	if len(l.batches) == batchesKept {
		l.batches = append([]loggedBatch(nil), l.batches[batchesKept/2:]...)
	}
	l.batches = append(l.batches, loggedBatch{
		batch: enginewire.CacheEventBatch{Sequence: l.sequence, Incarnation: l.incarnation, Events: events},
		dueAt: now.Add(l.lateness + backend.Milliseconds(faults.EventLatenessMilliseconds)),
	})
}

// due returns the batches from a sequence number on that are published by now.
func (l *eventLog) due(now time.Time, from uint64) []enginewire.CacheEventBatch {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var due []enginewire.CacheEventBatch
	for index := range l.batches {
		if l.batches[index].batch.Sequence < from {
			continue
		}
		if l.batches[index].dueAt.After(now) {
			break
		}
		due = append(due, l.batches[index].batch)
	}
	return due
}

// serveCacheEvents streams batches from the asked sequence number on, or from
// the oldest that is kept.
func (l *life) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	l.SetHeaders(writer.Header())
	writer.Header().Set("Content-Type", "application/msgpack")
	writer.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(writer)
	encoder := msgpack.NewEncoder(writer)
	ticker := time.NewTicker(eventPoll)
	defer ticker.Stop()
	for {
		for _, batch := range l.driver.events.due(time.Now(), from) {
			if err := encoder.Encode(batch); err != nil {
				return
			}
			from = batch.Sequence + 1
		}
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-request.Context().Done():
			return
		case <-l.Stopping():
			return
		}
	}
}
