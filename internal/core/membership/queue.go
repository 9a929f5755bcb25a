package membership

// queue holds what is still to be sent on, least often sent first.
type queue[Key comparable] struct {
	// levels[n] holds the keys that were sent n times.
	levels [][]queued[Key]
	// current holds the newest entry of each key; others in levels are stale.
	current map[Key]uint64
	next    uint64
}

type queued[Key comparable] struct {
	key    Key
	number uint64
	// sent is how often the key was sent, which is its level.
	sent int
}

func newQueue[Key comparable]() *queue[Key] {
	return &queue[Key]{current: make(map[Key]uint64)}
}

// add puts a key in front, to be sent anew as if it never was.
func (q *queue[Key]) add(key Key) {
	q.next++
	q.current[key] = q.next
	q.put(queued[Key]{key: key, number: q.next})
}

func (q *queue[Key]) put(item queued[Key]) {
	for len(q.levels) <= item.sent {
		q.levels = append(q.levels, nil)
	}
	q.levels[item.sent] = append(q.levels[item.sent], item)
}

// take offers keys, least often sent first, until accept returns false. An
// accepted key counts as sent, and is dropped once it was sent limit times.
func (q *queue[Key]) take(limit int, accept func(Key) bool) {
	var accepted []queued[Key]
	for level := range q.levels {
		var more bool
		accepted, more = q.takeLevel(level, accepted, accept)
		if !more {
			break
		}
	}
	for _, item := range accepted {
		item.sent++
		if item.sent >= limit {
			delete(q.current, item.key)
			continue
		}
		q.put(item)
	}
}

// takeLevel moves the accepted keys of one level to a list, and drops the stale
// ones. It returns false once accept did.
func (q *queue[Key]) takeLevel(level int, accepted []queued[Key], accept func(Key) bool) ([]queued[Key], bool) {
	items := q.levels[level]
	for len(items) > 0 {
		item := items[0]
		stale := q.current[item.key] != item.number
		if !stale && !accept(item.key) {
			q.levels[level] = items
			return accepted, false
		}
		if !stale {
			accepted = append(accepted, item)
		}
		items = items[1:]
	}
	q.levels[level] = nil
	return accepted, true
}
