package stream

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// wire is what the engines send, event by event, with the attempt it belongs to.
type wire struct {
	attempt int
	frames  []Frame
}

// machine drives an Assembler with the events of several attempts at once and
// keeps what the caller got. The oracle is the answer itself.
type machine struct {
	answer    []string
	assembler Assembler
	wires     []*wire
	attempt   int

	sent     strings.Builder
	tokens   int
	finishes int
	usages   int
	complete bool
	broken   bool
}

// answerFrames cuts the answer from an offset into events of one to three tokens.
func answerFrames(t *rapid.T, answer []string, from int) []Frame {
	frames := []Frame{{Kind: KindTokens, Offset: NoOffset}}
	for offset := from; offset < len(answer); {
		count := rapid.IntRange(1, min(3, len(answer)-offset)).Draw(t, "tokens")
		text := strings.Join(answer[offset:offset+count], "")
		frames = append(frames, Frame{Kind: KindTokens, Offset: offset, Tokens: count, Text: []byte(text)})
		offset += count
	}
	return append(frames,
		Frame{Kind: KindFinish, Offset: len(answer)},
		Frame{Kind: KindUsage, Offset: NoOffset}, Frame{Kind: KindDone, Offset: NoOffset})
}

// spoil loses, repeats, swaps or adds events, or goes on from another offset with
// the answer cut into other events.
func spoil(t *rapid.T, answer []string, frames []Frame) []Frame {
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		if len(frames) < 2 {
			return frames
		}
		at := rapid.IntRange(0, len(frames)-2).Draw(t, "at")
		switch rapid.SampledFrom([]string{"lose", "repeat", "swap", "late", "error", "recut", "recut", "recut"}).Draw(t, "fault") {
		case "lose":
			frames = slices.Delete(slices.Clone(frames), at, at+1)
		case "repeat":
			frames = slices.Insert(slices.Clone(frames), at, frames[at])
		case "swap":
			frames = slices.Clone(frames)
			frames[at], frames[at+1] = frames[at+1], frames[at]
		case "late":
			frames = append(slices.Clone(frames), frames[at])
		case "recut":
			from := rapid.IntRange(0, len(answer)).Draw(t, "from")
			frames = append(slices.Clone(frames[:at]), answerFrames(t, answer, from)...)
		case "error":
			frames = slices.Insert(slices.Clone(frames), at, Frame{Kind: KindError, Offset: NoOffset})
		}
	}
	return frames
}

func (m *machine) begin() {
	m.attempt++
	m.broken = false
	m.assembler.Begin(m.attempt)
}

// BeginAttempt resumes where the answer stands; older attempts go on sending.
func (m *machine) BeginAttempt(t *rapid.T) {
	m.begin()
	frames := spoil(t, m.answer, answerFrames(t, m.answer, m.assembler.Offset()))
	m.wires = append(m.wires, &wire{attempt: m.attempt, frames: frames})
}

// Deliver lets any attempt's next events arrive.
func (m *machine) Deliver(t *rapid.T) {
	waiting := slices.DeleteFunc(slices.Clone(m.wires), func(w *wire) bool { return len(w.frames) == 0 })
	if len(waiting) == 0 {
		t.Skip("nothing on the wire")
	}
	chosen := rapid.SampledFrom(waiting).Draw(t, "wire")
	for range rapid.IntRange(1, len(chosen.frames)).Draw(t, "events") {
		frame := chosen.frames[0]
		chosen.frames = chosen.frames[1:]
		m.take(t, chosen.attempt, frame)
	}
}

// Cut ends any attempt's connection.
func (m *machine) Cut(t *rapid.T) {
	attempt := rapid.IntRange(0, m.attempt).Draw(t, "attempt")
	verdict := m.assembler.End(attempt)
	if attempt != m.attempt || m.complete || m.broken {
		assert.Equal(t, verdict.Action, Drop)
		return
	}
	assert.Equal(t, verdict.Action, Break, "an end without the end marker is no end")
	m.broken = true
}

func (m *machine) take(t *rapid.T, attempt int, frame Frame) {
	verdict := m.assembler.Accept(attempt, frame)
	if verdict.Action == Drop {
		return
	}
	assert.Equal(t, attempt, m.attempt, "an event of an abandoned attempt must be dropped")
	assert.Assert(t, !m.broken && !m.complete, "nothing is taken after a break or the end")
	switch verdict.Action {
	case Send:
		m.sent.Write(frame.Text)
		m.tokens += frame.Tokens
		m.finishes += count(frame.Kind == KindFinish)
		m.usages += count(frame.Kind == KindUsage)
	case Break:
		m.broken = true
	case Complete:
		m.complete = true
	}
}

func count(happened bool) int {
	if happened {
		return 1
	}
	return 0
}

// Check compares what the caller got with the answer.
func (m *machine) Check(t *rapid.T) {
	assert.Equal(t, m.sent.String(), strings.Join(m.answer[:m.tokens], ""), "in order, nothing lost, nothing twice")
	assert.Equal(t, m.assembler.Offset(), m.tokens)
	assert.Equal(t, string(m.assembler.Text()), m.sent.String())
	assert.Assert(t, m.finishes <= 1 && m.usages <= 1)
	if m.complete {
		assert.Equal(t, m.tokens, len(m.answer), "only a whole answer may end")
		assert.Equal(t, m.finishes, 1)
	}
}

func newMachine(t *rapid.T) *machine {
	made := &machine{}
	for index := range rapid.IntRange(1, 12).Draw(t, "answer") {
		made.answer = append(made.answer, fmt.Sprintf("%d.", index))
	}
	return made
}

// TestAssembler checks that whatever arrives of several attempts, the caller gets
// a prefix of the answer, and the whole of it before the end.
func TestAssembler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		if m.complete {
			return
		}
		// A sound attempt always completes the answer, whatever went before.
		m.begin()
		for _, frame := range answerFrames(t, m.answer, m.assembler.Offset()) {
			m.take(t, m.attempt, frame)
		}
		m.Check(t)
		assert.Assert(t, m.complete)
	})
}

// TestOpaqueEventsForbidResume keeps an answer from being resumed from its text
// alone when it held more than text.
func TestOpaqueEventsForbidResume(t *testing.T) {
	var assembler Assembler
	assembler.Begin(1)
	assert.Equal(t, assembler.Accept(1, Frame{Kind: KindTokens, Offset: 0, Tokens: 1, Opaque: true}).Action, Send)
	assert.Assert(t, !assembler.Resumable())
}

// TestSeams gives an answer of which two tokens were sent one more event, and
// demands that what does not fit the seam exactly breaks the attempt.
func TestSeams(t *testing.T) {
	cases := []struct {
		name  string
		frame Frame
		want  Verdict
	}{
		{"fits", Frame{Offset: 2, Tokens: 1}, Verdict{Action: Send}},
		{"sent before", Frame{Offset: 0, Tokens: 2}, Verdict{Action: Drop}},
		{"overlaps", Frame{Offset: 1, Tokens: 2}, Verdict{Break, ReasonOverlap}},
		{"leaves a gap", Frame{Offset: 3, Tokens: 1}, Verdict{Break, ReasonGap}},
		{"text without an offset", Frame{Offset: NoOffset, Text: []byte("x")}, Verdict{Break, ReasonNoOffset}},
		{"finish elsewhere", Frame{Kind: KindFinish, Offset: 3}, Verdict{Break, ReasonGap}},
		{"end without finish", Frame{Kind: KindDone, Offset: NoOffset}, Verdict{Break, ReasonNoFinish}},
		{"engine error", Frame{Kind: KindError, Offset: NoOffset}, Verdict{Break, ReasonEngineError}},
	}
	for _, test := range cases {
		var assembler Assembler
		assembler.Begin(1)
		assembler.Accept(1, Frame{Offset: 0, Tokens: 2, Text: []byte("ab")})
		assert.Equal(t, assembler.Accept(1, test.frame), test.want, test.name)
	}
}
