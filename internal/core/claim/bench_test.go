package claim

import (
	"encoding/binary"
	"runtime"
	"testing"
)

// BenchmarkClaim measures the decisions of one claim with its settlement: the
// coordinator and three replicas, without messages on a wire.
func BenchmarkClaim(b *testing.B) {
	s := newSimulation(chooseLowest, mechanisms{}, 3)
	for _, m := range s.machines {
		m.replica.options.Limits.Capacity = b.N + 1
	}
	groups := s.newest()
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		claimBenchmarkKey(b, s, groups, benchmarkKey(index))
	}
}

func benchmarkKey(index int) Key {
	key := Key{}
	binary.BigEndian.PutUint64(key[8:], uint64(index))
	return key
}

func claimBenchmarkKey(b *testing.B, s *simulation, groups *Groups, key Key) {
	claimant := Claimant{Daemon: "daemon-0", Incarnation: 1, Sequence: 1}
	coordinator := NewCoordinator(groups, key, claimant, s.now)
	coordinator.Start()
	for _, m := range s.machines {
		coordinator.HandleReply(m.replica.HandleClaim(s.now, coordinator.request))
	}
	if coordinator.Verdict() != VerdictGranted {
		b.Fatal("a claim was not granted")
	}
	settlement := SettleRequest{Epoch: 1, Key: key, Claimant: claimant, Born: s.now, State: "ran"}
	for _, m := range s.machines {
		m.replica.HandleSettle(s.now, settlement)
	}
}

// BenchmarkReplicaMemory reports the memory that one remembered claim takes.
func BenchmarkReplicaMemory(b *testing.B) {
	s := newSimulation(chooseLowest, mechanisms{}, 1)
	s.machines[0].replica.options.Limits.Capacity = b.N + 1
	groups := s.newest()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for index := range b.N {
		claimBenchmarkKey(b, s, groups, benchmarkKey(index))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "bytes/claim")
	runtime.KeepAlive(s)
}
