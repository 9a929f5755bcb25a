// Package peercount tells how many daemons there may be, so that each can take
// its part of a limit that holds for all together. Each daemon leaves one row
// under its name in the platform's table and never removes it: a daemon that is
// gone makes the parts smaller, never larger.
package peercount

import (
	"context"
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
	assumedCount  = 64
	countInterval = 4 * time.Second
	failurePause  = 300 * time.Millisecond
	callTimeout   = 1500 * time.Millisecond
	pageRows      = 500
)

// Options are what a Counter works with.
type Options struct {
	Self  identity.DaemonID
	Table port.TableService
	// Changed is called with each new count, from 1.
	Changed func(count int)
	Log     logrus.FieldLogger
}

// Counter counts the daemons.
type Counter struct {
	options Options
	count   int
}

// New makes a Counter, and reports a large count until the rows were read.
func New(options Options) *Counter {
	options.Changed(assumedCount)
	return &Counter{options: options}
}

// Run counts until the context ends.
func (c *Counter) Run(ctx context.Context) error {
	for ctx.Err() == nil && c.announce(ctx) != nil {
		pause.For(ctx, failurePause)
	}
	for ctx.Err() == nil {
		c.read(ctx)
		pause.For(ctx, countInterval)
	}
	return nil
}

// announce writes the own row.
func (c *Counter) announce(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.options.Table.Commit(bounded, platformwire.Transaction{
		Writes: []platformwire.Write{{Key: keyPrefix + string(c.options.Self), Value: []byte{1}}},
	})
	return err
}

// read counts the rows.
func (c *Counter) read(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	count := 0
	after := ""
	for {
		rows, err := c.options.Table.Scan(bounded, keyPrefix, after, pageRows)
		if err != nil {
			return
		}
		count += len(rows)
		if len(rows) < pageRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	if count == 0 || count == c.count {
		return
	}
	c.count = count
	c.options.Log.WithField("count", count).Info("The number of daemons changed.")
	c.options.Changed(count)
}
