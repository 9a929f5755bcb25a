// Package members tracks which daemons may exist and their addresses, so that each daemon can compute its share
// of a limit that applies to all of them together, and report its load to the others. Each daemon writes one
// row to the platform's table and never removes it: the row of a stopped daemon makes the shares smaller, never
// larger. The keys are hashes of daemon names, so the few rows next to a daemon's own one belong to daemons of
// all zones, and the distance between their keys gives an estimate of the number of daemons.
package members

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/member"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

const (
	// KeyPrefix is the prefix of the keys of the daemons' rows.
	KeyPrefix = "member/"
	// assumedCount is the number of daemons assumed before they are known. It is large, so that the share
	// of a limit is small.
	assumedCount = 64
	// callTimeout bounds a store call for a few rows. Such a call takes a few milliseconds, or half a second
	// and more while the store is slow.
	callTimeout = 1200 * time.Millisecond
	// scanLimit is how many rows a starting daemon reads per scan, including its own.
	scanLimit = 10
	// concurrentStartDelay is how long daemons that start at the same time take to write their rows.
	concurrentStartDelay = 120 * time.Millisecond
)

// Options configures a List.
type Options struct {
	Self identity.DaemonID
	// Own describes this daemon to the others.
	Own   member.Descriptor
	Table port.TableService
	// New states that this daemon certainly has no row yet.
	New bool
	// Era is the store's era, which increases when the store is restored from a copy.
	Era port.EraSource
	// Changed is called with each new number of daemons, which is at least 1.
	Changed func(count int)
	Log     logrus.FieldLogger
}

// List is the list of daemons. It is safe for use by several goroutines.
type List struct {
	options   Options
	addresses atomic.Pointer[[]string]
	// descriptors holds, by address, the daemons of which more than the address is known.
	descriptors atomic.Pointer[map[string]member.Descriptor]
	known       atomic.Bool
	// fastestScan is the duration of the fastest scan in nanoseconds; zero before the first.
	fastestScan atomic.Int64
	// displaced signals that this daemon's row has to be written again.
	displaced chan struct{}
	// announcedEra is the store's era in which this daemon's row was last known to exist.
	announcedEra atomic.Uint64
}

// New returns a List and reports assumedCount to Changed, since the daemons are not known yet.
func New(options Options) *List {
	options.Changed(assumedCount)
	list := &List{options: options, displaced: make(chan struct{}, 1)}
	list.addresses.Store(&[]string{})
	list.descriptors.Store(&map[string]member.Descriptor{})
	return list
}

// Count returns how many daemons may exist, at least 1. Before they are known it returns assumedCount.
func (l *List) Count() int {
	if !l.known.Load() {
		return assumedCount
	}
	return len(*l.addresses.Load()) + 1
}

// Others returns the addresses of the other daemons.
func (l *List) Others() []string { return *l.addresses.Load() }

// Zone returns the zone of the daemon at an address, or an empty string if it is unknown.
func (l *List) Zone(address string) identity.Zone {
	if address == l.options.Own.Address {
		return l.options.Own.Zone
	}
	return (*l.descriptors.Load())[address].Zone
}

// Capacity returns the capacity of the machine of the daemon at an address relative to other machines, by
// processor and network link, or member.UnknownCapacity if it is unknown.
func (l *List) Capacity(address string) float64 {
	if address == l.options.Own.Address {
		return l.options.Own.Capacity
	}
	if described, known := (*l.descriptors.Load())[address]; known {
		return described.Capacity
	}
	return member.UnknownCapacity
}

// addDescriptors adds descriptors, replacing earlier ones with the same address.
func (l *List) addDescriptors(list []member.Descriptor) {
	for stored := false; !stored; {
		before := l.descriptors.Load()
		extended := maps.Clone(*before)
		for _, described := range list {
			extended[described.Address] = described
		}
		stored = l.descriptors.CompareAndSwap(before, &extended)
	}
}

// Set replaces the list with all daemons that have rows.
func (l *List) Set(list []member.Descriptor) {
	described := make(map[string]member.Descriptor, len(list))
	for _, each := range list {
		described[each.Address] = each
	}
	l.descriptors.Store(&described) // drops former addresses of daemons that moved
	l.checkDisplaced(list)
	var others []string
	for _, each := range list {
		if each.Address != l.options.Own.Address {
			others = append(others, each.Address)
		}
	}
	before := l.Count()
	l.addresses.Store(&others)
	l.known.Store(true)
	if count := l.Count(); count != before {
		l.options.Log.WithField("count", count).Info("The number of daemons changed.")
		l.options.Changed(count)
	}
}

// Heard adds the address of a daemon that sent a message, so that a daemon that has just started is known before
// its row is read.
func (l *List) Heard(address string) {
	if _, described := (*l.descriptors.Load())[address]; described {
		return // the common case: called for every datagram, and nearly all senders have a row
	}
	others := *l.addresses.Load()
	if !l.known.Load() || address == l.options.Own.Address || slices.Contains(others, address) {
		return
	}
	extended := append(slices.Clone(others), address)
	l.addresses.Store(&extended)
}

// Find implements directory.Contacts: it reads the rows next to this daemon's own one and returns the addresses
// in them and an estimate of the number of daemons. A daemon without a current row first writes it and waits
// concurrentStartDelay, since others may be starting at the same time.
func (l *List) Find(ctx context.Context) ([]string, int, error) {
	if !l.options.New {
		rows, err := l.readNeighbors(ctx)
		if err != nil {
			return l.addNeighbors(rows), estimateCount(rows), err
		}
		if slices.ContainsFunc(rows, l.isOwn) {
			l.announcedEra.Store(l.options.Era.Era())
			return l.addNeighbors(rows), estimateCount(rows), nil
		}
	}
	if err := l.announce(ctx); err != nil {
		return nil, 0, err
	}
	pause.For(ctx, concurrentStartDelay)
	rows, err := l.readNeighbors(ctx)
	return l.addNeighbors(rows), estimateCount(rows), err
}

// readNeighbors reads this daemon's row and the next ones. If no others follow, it also reads the first rows.
func (l *List) readNeighbors(ctx context.Context) ([]port.Row, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	own := rowKey(l.options.Self)
	before := own[:len(own)-1] // sorts before the own key and after nearly all smaller keys
	rows, err := l.scan(bounded, before)
	if err != nil || slices.ContainsFunc(rows, l.isOther) || !slices.ContainsFunc(rows, l.isOwn) {
		return rows, err
	}
	first, err := l.scan(bounded, "")
	return append(rows, first...), err
}

// scan reads up to scanLimit rows and records the duration if it was the shortest so far.
func (l *List) scan(ctx context.Context, after string) ([]port.Row, error) {
	began := clock.Now()
	rows, err := l.options.Table.Scan(ctx, KeyPrefix, after, scanLimit)
	if took, before := int64(clock.Since(began)), l.fastestScan.Load(); err == nil && (before == 0 || took < before) {
		l.fastestScan.Store(took)
	}
	return rows, err
}

// StoreTime returns the duration of the fastest scan made at the start, or zero before the first.
func (l *List) StoreTime() time.Duration { return time.Duration(l.fastestScan.Load()) }

// addNeighbors adds the descriptors of other daemons found in rows, unless one with the same address is known,
// and returns their addresses.
func (l *List) addNeighbors(rows []port.Row) []string {
	var contacts []string
	var unknown []member.Descriptor
	for _, row := range slices.DeleteFunc(slices.Clone(rows), l.isOwnKey) {
		described, err := member.Parse(string(row.Value))
		if err != nil {
			l.options.Log.WithError(err).WithField("key", row.Key).Error("The row of a daemon is malformed.")
			continue
		}
		contacts = append(contacts, described.Address)
		if _, known := (*l.descriptors.Load())[described.Address]; !known {
			unknown = append(unknown, described)
		}
	}
	l.addDescriptors(unknown)
	return contacts
}

func (l *List) isOwnKey(row port.Row) bool { return row.Key == rowKey(l.options.Self) }

func (l *List) isOther(row port.Row) bool { return !l.isOwnKey(row) }

// isOwn reports whether a row is this daemon's and matches its current descriptor.
func (l *List) isOwn(row port.Row) bool {
	return l.isOwnKey(row) && string(row.Value) == l.options.Own.String()
}

// announce writes this daemon's row.
func (l *List) announce(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := l.options.Table.Commit(bounded, port.Transaction{
		Writes: []port.Write{{Key: rowKey(l.options.Self), Value: []byte(l.options.Own.String())}},
	})
	if err == nil {
		l.announcedEra.Store(l.options.Era.Era())
	}
	return err
}

func rowKey(daemon identity.DaemonID) string {
	return fmt.Sprintf("%s%016x", KeyPrefix, rendezvous.Key(string(daemon)))
}

// estimateCount estimates the total number of rows from the distance between the keys of consecutive rows. If a
// key is malformed, it returns the number of the given rows.
func estimateCount(rows []port.Row) int {
	if len(rows) < 2 {
		return len(rows)
	}
	first, firstKnown := keyFraction(rows[0].Key)
	last, lastKnown := keyFraction(rows[len(rows)-1].Key)
	if !firstKnown || !lastKnown || last <= first {
		return len(rows)
	}
	return int(math.Round(float64(len(rows)-1) / (last - first)))
}

// keyFraction returns the position of a key between the first possible key, 0, and the last, 1. It returns false
// for a malformed key.
func keyFraction(key string) (float64, bool) {
	hash, err := strconv.ParseUint(strings.TrimPrefix(key, KeyPrefix), 16, 64)
	return float64(hash) / math.MaxUint64, err == nil
}
