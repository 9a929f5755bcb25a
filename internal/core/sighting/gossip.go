package sighting

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// datagramBytes bounds the deltas in one datagram; with the frame they stay below
// its limit.
const datagramBytes = 900

// minimumPushBytes is the least allowance with which a push is worth its frame.
const minimumPushBytes = 200

// push is a report that is to be sent on.
type push struct {
	// from is the sequence after which the changes are news to others.
	from   uint64
	rounds int
	// newsAt is when the newest of the changes came.
	newsAt time.Time
}

// push queues what is new in a report, and hurries when nothing was sent lately.
func (e *Exchange) push(now time.Time, news *report, from uint64) {
	if queued, found := e.pushes[news.watcher]; found {
		from = min(from, queued.from)
		e.dropPush(news.watcher)
	}
	e.pushes[news.watcher] = &push{from: from, rounds: e.options.Rounds, newsAt: now}
	e.pushOrder = append(e.pushOrder, news.watcher)
	soon := now.Add(e.options.HurriedGossip)
	earliest := e.lastPush.Add(e.options.GossipInterval)
	if earliest.Before(soon) {
		earliest = soon
	}
	if earliest.Before(e.nextPush) || !e.nextPush.After(now) {
		e.nextPush = earliest
	}
}

// heardAgain counts a round off when another daemon sends what is known already.
func (e *Exchange) heardAgain(watcher identity.DaemonID) {
	queued, found := e.pushes[watcher]
	if !found {
		return
	}
	queued.rounds--
	if queued.rounds <= 0 {
		e.dropPush(watcher)
	}
}

func (e *Exchange) dropPush(watcher identity.DaemonID) {
	delete(e.pushes, watcher)
	e.pushOrder = slices.DeleteFunc(e.pushOrder, func(queued identity.DaemonID) bool { return queued == watcher })
}

// Tick does what is due.
func (e *Exchange) Tick(now time.Time) []Action {
	e.tickPush(now)
	e.tickSync(now)
	e.tickLoads(now)
	return e.takeActions()
}

func (e *Exchange) tickPush(now time.Time) {
	if len(e.pushOrder) == 0 || now.Before(e.nextPush) {
		return
	}
	e.refill(now)
	e.nextPush = now.Add(e.options.GossipInterval)
	targets := e.pushTargets()
	if len(targets) == 0 || e.allowance < minimumPushBytes {
		return
	}
	deltas, size := e.nextDeltas(now)
	if len(deltas) == 0 {
		return
	}
	e.lastPush = now
	for _, target := range targets {
		e.allowance -= float64(size)
		e.send(target.Address, Message{Kind: MessageDeltas, Deltas: deltas}, size > datagramBytes)
	}
}

func (e *Exchange) refill(now time.Time) {
	saved := now.Sub(e.refilled).Seconds() * float64(e.options.GossipBytes)
	e.allowance = min(e.allowance+saved, float64(e.options.GossipBurst))
	e.refilled = now
}

// nextDeltas takes the newest of the queue that fit into one datagram. What became
// old in the queue is dropped: the comparison of digests brings much at once
// cheaper than pushes can.
func (e *Exchange) nextDeltas(now time.Time) ([]Delta, int) {
	var deltas []Delta
	size := 0
	for _, watcher := range slices.Backward(slices.Clone(e.pushOrder)) {
		queued, known := e.pushes[watcher], e.reports[watcher]
		if known == nil || now.Sub(queued.newsAt) > e.options.PushExpiry {
			e.dropPush(watcher)
			continue
		}
		delta := known.delta(queued.from, datagramBytes-size)
		if len(deltas) > 0 && size+delta.size() > datagramBytes {
			break
		}
		size += delta.size()
		deltas = append(deltas, delta)
		e.pushed(watcher, queued, delta, known)
	}
	return deltas, size
}

// pushed notes that a delta goes out. One that had to be cut goes on where it
// ended, but its rounds count all the same.
func (e *Exchange) pushed(watcher identity.DaemonID, queued *push, delta Delta, known *report) {
	if delta.To < known.sequence {
		queued.from = delta.To
	}
	queued.rounds--
	if queued.rounds <= 0 {
		e.dropPush(watcher)
	}
}

func (e *Exchange) pushTargets() []Member {
	targets := e.pick(e.options.ZoneFanout, e.mates, nil)
	missing := e.options.Fanout - len(targets)
	targets = append(targets, e.pick(missing, e.others, targets)...)
	missing = e.options.Fanout - len(targets)
	return append(targets, e.pick(missing, e.mates, targets)...)
}

// pick draws up to count different members that are not in unwanted.
func (e *Exchange) pick(count int, candidates, unwanted []Member) []Member {
	var picked []Member
	if count <= 0 {
		return nil
	}
	start := 0
	if len(candidates) > 0 {
		start = e.random.IntN(len(candidates))
	}
	for tried := 0; tried < len(candidates) && len(picked) < count; tried++ {
		position := start
		if len(candidates) > count {
			position = e.random.IntN(len(candidates))
		}
		candidate := candidates[(position+tried)%len(candidates)]
		if !slices.Contains(picked, candidate) && !slices.Contains(unwanted, candidate) {
			picked = append(picked, candidate)
		}
	}
	return picked
}

func (e *Exchange) send(to string, message Message, reliable bool) {
	if message.Kind != MessageDeltas {
		message.Address = e.self.Address
	}
	e.emit(Send{To: to, Message: message, Reliable: reliable})
}
