// Package members tells which daemons there may be and where they are reached, so
// that each can take its part of a limit that holds for all together, and tell the
// others of its load. Each daemon leaves one row under its name in the platform's
// table and never removes it: a daemon that is gone makes the parts smaller, never
// larger.
package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

const (
	keyPrefix = "member/"
	// assumedCount is taken before the rows were read: many, so that the part of a
	// limit is small.
	assumedCount = 64
	readInterval = 4 * time.Second
	// intervalPerRow makes the list be read less often the longer it is: daemons that
	// start are heard of before they are read.
	intervalPerRow = 250 * time.Millisecond
	failurePause   = 300 * time.Millisecond
	callTimeout    = 1500 * time.Millisecond
	rowsInOneCall  = 500
)

// Options are what a List works with.
type Options struct {
	Self identity.DaemonID
	// Address is where other daemons reach this one, IP:port.
	Address string
	Table   port.TableService
	// Changed is called with each new count, from 1.
	Changed func(count int)
	Log     logrus.FieldLogger
}

// List is the list of daemons.
type List struct {
	options   Options
	count     int
	addresses atomic.Pointer[[]string]
	known     atomic.Bool
}

// New makes a List, and reports a large count until the rows were read.
func New(options Options) *List {
	options.Changed(assumedCount)
	list := &List{options: options}
	list.addresses.Store(&[]string{})
	return list
}

// Count is how many daemons there may be, at least 1; a large number before the
// rows were read.
func (l *List) Count() int {
	if !l.known.Load() {
		return assumedCount
	}
	return len(*l.addresses.Load()) + 1
}

// Others returns the addresses of the other daemons.
func (l *List) Others() []string { return *l.addresses.Load() }

// Heard notes the address of a daemon that told something, so that one that has
// just started is known before its row is read.
func (l *List) Heard(address string) {
	others := *l.addresses.Load()
	if !l.known.Load() || address == l.options.Address || slices.Contains(others, address) {
		return
	}
	extended := append(slices.Clone(others), address)
	l.addresses.Store(&extended)
}

// Run keeps the list until the context ends.
func (l *List) Run(ctx context.Context) error {
	for ctx.Err() == nil && l.announce(ctx) != nil {
		pause.For(ctx, failurePause/2+rand.N(failurePause))
	}
	for ctx.Err() == nil {
		if !l.read(ctx) {
			pause.For(ctx, failurePause+rand.N(failurePause))
			continue
		}
		pause.For(ctx, max(readInterval, time.Duration(l.count)*intervalPerRow))
	}
	return nil
}

// announce writes the own row.
func (l *List) announce(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := l.options.Table.Commit(bounded, platformwire.Transaction{
		Writes: []platformwire.Write{{Key: keyPrefix + string(l.options.Self), Value: []byte(l.options.Address)}},
	})
	return err
}

// read reads all rows. It returns false when that failed.
func (l *List) read(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var others []string
	count := 0
	after := ""
	for {
		rows, err := l.options.Table.Scan(bounded, keyPrefix, after, rowsInOneCall)
		if err != nil {
			return false
		}
		count += len(rows)
		for _, row := range rows {
			if strings.TrimPrefix(row.Key, keyPrefix) != string(l.options.Self) {
				others = append(others, string(row.Value))
			}
		}
		if len(rows) < rowsInOneCall {
			break
		}
		after = rows[len(rows)-1].Key
	}
	l.addresses.Store(&others)
	l.known.Store(true)
	if count == 0 || count == l.count {
		return true
	}
	l.count = count
	l.options.Log.WithField("count", count).Info("The number of daemons changed.")
	l.options.Changed(count)
	return true
}
