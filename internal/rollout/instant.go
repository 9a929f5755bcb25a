package rollout

import (
	"sync/atomic"
	"time"
)

// instant is a time that several goroutines share.
type instant struct{ value atomic.Pointer[time.Time] }

func (i *instant) set(at time.Time) { i.value.Store(&at) }

// after tells whether the instant is later than a time; one that was never set isn't.
func (i *instant) after(now time.Time) bool {
	at := i.value.Load()
	return at != nil && at.After(now)
}
