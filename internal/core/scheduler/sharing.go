package scheduler

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
)

// Notice tells other daemons what a daemon has sent to an engine, before cache
// events and load reports can show it. Notices may be lost, late or repeated:
// what they said shows in later reports.
type Notice struct {
	Backend     identity.BackendID   `msgpack:"backend"`
	Incarnation identity.Incarnation `msgpack:"incarnation"`
	// Tokens are the prompt tokens that the engine will compute.
	Tokens int `msgpack:"tokens"`
	// Checkpoints are hashes that the engine will have, of the blocks that package
	// belief keeps: those that it caches anew, and now and then those that it used
	// from its cache, so that other daemons know that they are kept.
	Checkpoints []uint64 `msgpack:"checkpoints,omitempty"`
}

// Sharing is what a policy implements when daemons tell each other what they place.
type Sharing interface {
	// TakeNotices returns the notices since the last call, for the other daemons.
	TakeNotices() []Notice
	// ObserveNotices takes the notices of another daemon.
	ObserveNotices(now time.Time, notices []Notice)
}

var _ Sharing = (*Scheduler)(nil)

// Bounds of notices.
const (
	// noticeTokens is the least work that is worth a notice.
	noticeTokens = 128
	// reuseNoticePeriod is how often the reuse of one prefix on one engine is told,
	// in seconds.
	reuseNoticePeriod = 1.0
	// maxReuseNotices is how many prefixes are remembered as told.
	maxReuseNotices = 4096
	// maxNotices is how many notices are kept for one call of TakeNotices.
	maxNotices = 1024
)

// TakeNotices implements Sharing.
func (s *Scheduler) TakeNotices() []Notice {
	notices := s.notices
	s.notices = nil
	return notices
}

// noteForPeers keeps a notice of a job that starts.
func (s *Scheduler) noteForPeers(at float64, started *job) {
	if len(s.notices) >= maxNotices {
		return
	}
	checkpoints := newCheckpoints(started)
	if s.reuseNoticeDue(at, started) {
		checkpoints = allCheckpoints(started)
	} else if started.uncached < noticeTokens {
		return
	}
	s.notices = append(s.notices, Notice{
		Backend:     started.backend.backend.ID,
		Incarnation: started.backend.backend.Incarnation,
		Tokens:      int(started.uncached),
		Checkpoints: checkpoints,
	})
}

// reuseNoticeDue tells whether the reuse of a job's cached prefix is to be told.
func (s *Scheduler) reuseNoticeDue(at float64, started *job) bool {
	if started.placement.Expected.Blocks == 0 {
		return false
	}
	reused := reusedPrefix{backend: started.backend, last: started.request.Chain[started.placement.Expected.Blocks-1]}
	if told, found := s.reuseTold[reused]; found && at < told+reuseNoticePeriod {
		return false
	}
	if len(s.reuseTold) >= maxReuseNotices {
		clear(s.reuseTold)
	}
	s.reuseTold[reused] = at
	return true
}

// reusedPrefix is a cached prefix on an engine.
type reusedPrefix struct {
	backend *backendState
	last    prefix.Hash
}

func allCheckpoints(started *job) []uint64 {
	hashes := make([]uint64, len(started.checkpoints))
	for index, checkpoint := range started.checkpoints {
		hashes[index] = uint64(checkpoint.Hash)
	}
	return hashes
}

// newCheckpoints lists the checkpoints that the job's engine does not have yet.
func newCheckpoints(started *job) []uint64 {
	var hashes []uint64
	for _, checkpoint := range started.checkpoints {
		if int(checkpoint.Blocks) > started.placement.Expected.Blocks {
			hashes = append(hashes, uint64(checkpoint.Hash))
		}
	}
	return hashes
}

// ObserveNotices implements Sharing.
func (s *Scheduler) ObserveNotices(now time.Time, notices []Notice) {
	at := s.seconds(now)
	for _, notice := range notices {
		state := s.backends[notice.Backend]
		if state == nil || state.backend.Incarnation != notice.Incarnation {
			continue
		}
		s.index.Expect(state.slot, notice.Checkpoints)
		state.queue.add(at, float64(notice.Tokens), state.pace)
		state.batch.notePeer(at)
		s.reorder(state)
	}
}
