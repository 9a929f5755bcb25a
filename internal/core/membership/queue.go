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
}

func newQueue[Key comparable]() *queue[Key] {
	return &queue[Key]{current: make(map[Key]uint64)}
}

// add puts a key in front, to be sent anew as if it never was.
func (q *queue[Key]) add(key Key) {
	q.next++
	q.current[key] = q.next
	q.put(0, queued[Key]{key: key, number: q.next})
}

func (q *queue[Key]) put(level int, item queued[Key]) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], item)
}

// take offers keys, least often sent first, until accept returns false. An
// accepted key counts as sent, and is dropped once it was sent limit times.
func (q *queue[Key]) take(limit int, accept func(Key) bool) {
	var sent []queued[Key]
	var sentLevels []int
	full := false
	for level := 0; level < len(q.levels) && !full; level++ {
		items := q.levels[level]
		used := 0
		for used < len(items) {
			item := items[used]
			if q.current[item.key] == item.number {
				if !accept(item.key) {
					full = true
					break
				}
				sent = append(sent, item)
				sentLevels = append(sentLevels, level+1)
			}
			used++
		}
		q.levels[level] = items[used:]
		if len(q.levels[level]) == 0 {
			q.levels[level] = nil
		}
	}
	for index, item := range sent {
		if sentLevels[index] >= limit {
			delete(q.current, item.key)
			continue
		}
		q.put(sentLevels[index], item)
	}
}
