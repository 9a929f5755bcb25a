package loadhome

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// peerAnswer is an answer and the address of the home that sent it.
type peerAnswer[Message any] struct {
	from    string
	message Message
}

// queryHomes sends each home the keys it is responsible for and applies the answers. It returns without the
// answers that take longer than the adaptive timeout.
func queryHomes[Message any](
	ctx context.Context, h *Homes, questions *peerlink.Questions[peerAnswer[Message]], byHome map[string][]uint64,
	send func(home string, number uint64, keys []uint64), apply func(Message),
) {
	if len(byHome) == 0 {
		return
	}
	number := questions.Next()
	answers := questions.Await(number, len(byHome))
	defer questions.Forget(number)
	for home, keys := range byHome {
		send(home, number, keys)
	}
	asked := clock.Now()
	timeout := time.NewTimer(h.timeout(byHome))
	defer timeout.Stop()
	for len(byHome) > 0 {
		select {
		case got := <-answers:
			h.recordRoundTrip(got.from, clock.Since(asked))
			apply(got.message)
			delete(byHome, got.from)
		case <-timeout.C:
			h.recordTimeouts(byHome)
			return
		case <-ctx.Done():
			return
		}
	}
}
