package model

import "time"

// step is one pass of the batch.
type step struct {
	endsAt time.Time
	// decoding are the requests that get a token at the end of the step.
	decoding []*sequence
}

// startStep composes the next batch, unless one runs or there is no work.
func (e *Engine) startStep(now time.Time) {
	if e.step != nil || len(e.running)+len(e.waiting) == 0 {
		return
	}
	next := &step{}
	cost := e.options.StepBase
	for _, candidate := range e.running {
		if candidate.prefillLeft() == 0 {
			next.decoding = append(next.decoding, candidate)
			cost += e.options.DecodePerSequence
		}
	}
	prefilled := e.prefill(now, next, e.chunkTokens(cost))
	if prefilled == 0 && len(next.decoding) == 0 {
		return
	}
	cost += time.Duration(prefilled) * e.options.PrefillPerToken
	next.endsAt = now.Add(cost)
	e.step = next
}

// chunkTokens is how many prompt tokens fit into a step of this cost.
func (e *Engine) chunkTokens(cost time.Duration) int {
	room := e.options.StepCeiling - cost
	return max(minimumChunk, int(room/e.options.PrefillPerToken))
}

// prefill gives the step's prompt tokens to requests in order of priority and
// arrival, and starts waiting ones while tokens are left. It returns how many
// tokens were given.
func (e *Engine) prefill(now time.Time, next *step, budget int) int {
	left := budget
	blocked := false
	for left > 0 {
		candidate := e.nextPrefill(blocked)
		if candidate == nil {
			break
		}
		if !candidate.started && !e.start(now, candidate) {
			blocked = true
			continue
		}
		chunk := min(left, candidate.prefillLeft())
		left -= chunk
		candidate.computed += chunk
		e.cache.publishComputed(candidate)
		if candidate.prefillLeft() == 0 {
			e.unannounce(candidate)
			next.decoding = append(next.decoding, candidate)
		}
	}
	return budget - left
}

// nextPrefill picks the first request with prompt tokens left. Waiting requests
// are passed over once one of them found no room: none may overtake it.
func (e *Engine) nextPrefill(blocked bool) *sequence {
	var found *sequence
	for _, candidate := range e.running {
		if candidate.prefillLeft() > 0 {
			found = candidate
			break
		}
	}
	if blocked || len(e.waiting) == 0 || len(e.running) >= e.options.MaxRunning {
		return found
	}
	if found == nil || e.waiting[0].before(found) {
		return e.waiting[0]
	}
	return found
}

// start moves a waiting request into the batch. It returns false when there are
// too few blocks.
func (e *Engine) start(now time.Time, started *sequence) bool {
	if !e.cache.admit(started) {
		return false
	}
	started.started = true
	e.waitingTokens -= started.expected
	removeFrom(&e.waiting, started)
	insertInOrder(&e.running, started)
	e.results = append(e.results, Started{At: now, Key: started.request.Key, CachedTokens: started.computed})
	return true
}

// finishStep gives a token to each decoding request of the step.
func (e *Engine) finishStep() {
	ended := e.step
	e.step = nil
	for _, owner := range ended.decoding {
		if owner.ended {
			continue
		}
		e.giveToken(ended.endsAt, owner)
	}
}

func (e *Engine) giveToken(at time.Time, owner *sequence) {
	request := owner.request
	offset := request.FirstOffset + owner.generated
	owner.generated++
	e.results = append(e.results, Token{At: at, Key: request.Key, Offset: offset})
	e.cache.publishComputed(owner)
	if owner.generated < request.newTokens() {
		return
	}
	e.remove(owner)
	e.results = append(e.results, Finished{At: at, Key: request.Key})
}
