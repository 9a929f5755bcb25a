package peerlink

import (
	"math/rand/v2"
	"sync"
)

// Questions matches the answers of other daemons to the questions that wait for them, by
// numbers. It is safe for use by several goroutines. Make it with NewQuestions.
type Questions[Answer any] struct {
	mutex   sync.Mutex
	number  uint64
	waiting map[uint64]chan Answer
}

// NewQuestions makes a Questions without any. Numbers begin at random: those of an earlier
// life of the daemon may still be remembered by others.
func NewQuestions[Answer any]() *Questions[Answer] {
	return &Questions[Answer]{number: rand.Uint64(), waiting: map[uint64]chan Answer{}}
}

// Next returns a number that was not used before.
func (q *Questions[Answer]) Next() uint64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.number++
	return q.number
}

// Await makes a channel that gets the answers to a question, as many as it has room for.
// Forget must follow.
func (q *Questions[Answer]) Await(number uint64, room int) <-chan Answer {
	answers := make(chan Answer, room)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting[number] = answers
	return answers
}

// Forget ends the wait for a question's answers.
func (q *Questions[Answer]) Forget(number uint64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.waiting, number)
}

// Answer hands an answer to the question that waits for it. It returns false when none does.
func (q *Questions[Answer]) Answer(number uint64, answer Answer) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiting, found := q.waiting[number]
	if !found {
		return false
	}
	select {
	case waiting <- answer:
	default: // repeated
	}
	return true
}
