package loadhome

import (
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// loadTable holds the loads that daemons reported to this home, per back end. It is safe for concurrent use.
type loadTable struct {
	mutex sync.Mutex
	// reports holds the last report of each daemon, by back-end key and daemon address.
	reports map[uint64]map[string]loadReport
}

// loadReport is the load that one daemon last reported for one back end.
type loadReport struct {
	load backendpool.Load
	at   time.Time
}

func newLoadTable() *loadTable { return &loadTable{reports: map[uint64]map[string]loadReport{}} }

// record stores the load of a daemon at a back end. An empty load removes the report.
func (l *loadTable) record(now time.Time, from string, load backendpool.Load) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if load.IsEmpty() {
		delete(l.reports[load.Key], from)
		return
	}
	if l.reports[load.Key] == nil {
		l.reports[load.Key] = map[string]loadReport{}
	}
	l.reports[load.Key][from] = loadReport{load: load, at: now}
}

// sumExcept returns the total load that all daemons but one have at a back end. Reports older than reportTTL are
// dropped: the daemon is gone or now reports to another home.
func (l *loadTable) sumExcept(now time.Time, key uint64, except string) backendpool.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sum := backendpool.Load{Key: key}
	for from, report := range l.reports[key] {
		if now.Sub(report.at) > reportTTL {
			delete(l.reports[key], from)
			continue
		}
		if from != except {
			sum = sum.Add(report.load)
		}
	}
	return sum
}

// prune removes back ends that have no reports.
func (l *loadTable) prune() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for key, reports := range l.reports {
		if len(reports) == 0 {
			delete(l.reports, key)
		}
	}
}
