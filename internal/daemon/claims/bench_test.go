package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/port"
)

// The load of BenchmarkClaimLatency: claims a second over three daemons, and the
// calls a second that the table takes from all of them.
const (
	benchmarkClaims     = 300
	benchmarkTableCalls = 100
)

// BenchmarkClaimLatency measures claims under a steady load, with 1 to 1.5 ms one
// way between daemons. Run it with -benchtime=1500x, which is 5 s of load.
func BenchmarkClaimLatency(b *testing.B) {
	tables := map[string]struct {
		latency time.Duration
		down    bool
	}{
		"table-up":   {latency: 5 * time.Millisecond},
		"table-slow": {latency: 300 * time.Millisecond},
		"table-down": {latency: time.Millisecond, down: true},
	}
	for _, birth := range []bool{true, false} {
		path := map[bool]string{true: "votes", false: "rows"}[birth]
		for name, state := range tables {
			b.Run(path+"/"+name, func(b *testing.B) {
				table := newTable()
				table.delay = func() time.Duration { return state.latency }
				table.fault = limitedFault(state.down)
				w := newWorld(3, table)
				w.delay = func() time.Duration { return time.Millisecond + rand.N(500*time.Microsecond) }
				defer w.close()
				measure(b, w.startAll(), birth)
				b.ReportMetric(float64(table.commits), "commits")
			})
		}
	}
}

func limitedFault(down bool) func() tableFault {
	limiter := rate.NewLimiter(benchmarkTableCalls, 10)
	return func() tableFault {
		switch {
		case down:
			return faultDown
		case !limiter.Allow():
			return faultLimited
		default:
			return faultNone
		}
	}
}

// measure claims and settles b.N keys.
func measure(b *testing.B, runners []*Runner, birth bool) {
	var mutex sync.Mutex
	var latencies []time.Duration
	var claiming sync.WaitGroup
	granted := 0
	b.ResetTimer()
	ticker := time.NewTicker(time.Second / benchmarkClaims)
	defer ticker.Stop()
	for index := range b.N {
		<-ticker.C
		runner := runners[index%len(runners)]
		claiming.Go(func() {
			key := keyOf(fmt.Sprint(index), birth)
			started := time.Now()
			verdict := runner.Claim(context.Background(), key)
			latency := time.Since(started)
			runner.Settle(key, identity.RunStateRan)
			mutex.Lock()
			defer mutex.Unlock()
			latencies = append(latencies, latency)
			if verdict == port.ClaimGranted {
				granted++
			}
		})
	}
	claiming.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	milliseconds := func(share float64) float64 {
		return float64(latencies[int(share*float64(len(latencies)-1))]) / float64(time.Millisecond)
	}
	b.ReportMetric(milliseconds(0.50), "p50-ms")
	b.ReportMetric(milliseconds(0.99), "p99-ms")
	b.ReportMetric(100*float64(granted)/float64(b.N), "granted-%")
}

// BenchmarkClaim measures the processor time of a claim with its settlement, at
// the coordinator and three replicas together, with messages encoded.
func BenchmarkClaim(b *testing.B) {
	w := newWorld(3, newTable())
	w.delay = func() time.Duration { return 0 }
	defer w.close()
	runners := w.startAll()
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	for index := range b.N {
		key := keyOf(fmt.Sprint(index), true)
		runner := runners[index%len(runners)]
		if verdict := runner.Claim(context.Background(), key); verdict != port.ClaimGranted {
			b.Fatalf("claim %d came to %s", index, verdict)
		}
		runner.Settle(key, identity.RunStateRan)
	}
	for _, runner := range runners {
		runner.settling.Wait()
	}
	used := processorTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/claim")
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// close stops the daemons without waiting.
func (w *world) close() {
	for index := range w.roster.Daemons {
		w.stop(index)
	}
}
