package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/member"
	"github.com/lotusward/lotusward/internal/pause"
)

// announceJitter spreads the writes of many daemons whose rows the store lost at once, and the retries after
// failed calls.
const announceJitter = time.Second

// checkDisplaced schedules a rewrite of this daemon's row if the list has this daemon's name at another address
// after the store was restored from a copy: the copy then holds the row of the previous process. Without a
// restore, the other address belongs to the next process of that name, and the row stays.
func (l *List) checkDisplaced(list []member.Descriptor) {
	own := l.options.Own
	restored := l.options.Era.Era() > l.announcedEra.Load()
	displaced := own.Name != 0 && restored && slices.ContainsFunc(list, func(each member.Descriptor) bool {
		return each.Name == own.Name && each.Address != own.Address
	})
	if !displaced {
		return
	}
	select {
	case l.displaced <- struct{}{}:
	default: // a rewrite is already scheduled
	}
}

// Run rewrites this daemon's row whenever checkDisplaced has found it replaced, until the context is cancelled.
func (l *List) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.displaced:
		}
		pause.For(ctx, rand.N(announceJitter))
		l.restoreOwnRow(ctx)
	}
}

// restoreOwnRow writes this daemon's row, retrying until that succeeds or the context is cancelled.
func (l *List) restoreOwnRow(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.announce(ctx)
		if err == nil {
			l.options.Log.Info("An earlier row had replaced this daemon's row; the current one was written again.")
			return
		}
		l.options.Log.WithError(err).Warn("This daemon's row could not be written; retrying.")
		pause.For(ctx, announceJitter+rand.N(announceJitter))
	}
}
