package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

// testInterval is how often daemons in tests check what operators declared.
const testInterval = 100 * time.Millisecond

// memorySource is a store in memory that tests change and make fail.
type memorySource struct {
	mutex    sync.Mutex
	declared Declared
	listed   Listed
	// second is the list's second page. The first call for it is rate-limited.
	second Listed
	// silentOnce leaves the next call for back ends without an answer.
	silentOnce atomic.Bool
	pages      int
	changes    Changes
	members    Members
	failure    error
	calls      int
}

func (s *memorySource) set(change func(*memorySource)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

func (s *memorySource) Declared(context.Context) (Declared, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	return s.declared, s.failure
}

func (s *memorySource) Backends(ctx context.Context, from string) (Listed, error) {
	if s.silentOnce.CompareAndSwap(true, false) {
		<-ctx.Done()
		return Listed{}, ctx.Err()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if from == "" || s.failure != nil {
		return s.listed, s.failure
	}
	s.pages++
	if s.pages == 1 {
		return Listed{}, &port.RateLimitedError{Service: "store"}
	}
	return s.second, nil
}

func (s *memorySource) Unchanged(_ context.Context, rows map[string]uint64) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	return s.declared.RowVersion == rows["config"], s.failure
}

// DeclaredChanges reports no changes: checks find them.
func (s *memorySource) DeclaredChanges(ctx context.Context, _ uint64, wait time.Duration) (DeclaredChange, error) {
	pause.For(ctx, wait)
	return DeclaredChange{}, ctx.Err()
}

func (s *memorySource) Members(context.Context, string) (Members, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.members, s.failure
}

func (s *memorySource) MemberChanges(_ context.Context, after uint64, _ time.Duration) (Members, error) {
	time.Sleep(5 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.members.Last <= after {
		return Members{}, s.failure
	}
	return Members{Last: s.members.Last, Rows: s.members.Rows}, s.failure
}

func (s *memorySource) BackendChanges(_ context.Context, after uint64, _ time.Duration) (Changes, error) {
	time.Sleep(5 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changes.Last <= after {
		return Changes{}, s.failure
	}
	return s.changes, s.failure
}
