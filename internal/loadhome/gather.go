package loadhome

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// heard is an answer with the home that it is from.
type heard[Message any] struct {
	from    string
	message Message
}

// gather asks homes, each for some of the keys of which it is one, and has their answers taken in. It goes on without
// those that take longer than answers mostly do.
func gather[Message any](
	ctx context.Context, h *Homes, questions *peerlink.Questions[heard[Message]], byHome map[string][]uint64,
	tell func(home string, number uint64, keys []uint64), take func(Message),
) {
	if len(byHome) == 0 {
		return
	}
	number := questions.Next()
	answers := questions.Await(number, len(byHome))
	defer questions.Forget(number)
	for home, keys := range byHome {
		tell(home, number, keys)
	}
	asked := clock.Now()
	timeout := time.NewTimer(h.timeout(byHome))
	defer timeout.Stop()
	for len(byHome) > 0 {
		select {
		case got := <-answers:
			h.answered(got.from, clock.Since(asked))
			take(got.message)
			delete(byHome, got.from)
		case <-timeout.C:
			h.noteSilent(byHome)
			return
		case <-ctx.Done():
			return
		}
	}
}
