package rollout

import (
	"sync/atomic"
	"time"
)

// instant is a time that is safe for concurrent use.
type instant struct{ value atomic.Pointer[time.Time] }

func (i *instant) set(at time.Time) { i.value.Store(&at) }

// after reports whether the instant is set and later than a time.
func (i *instant) after(now time.Time) bool {
	at := i.value.Load()
	return at != nil && at.After(now)
}
