// Package stream puts one answer together from the events of several attempts.
// It decides for each event whether the caller may be sent it, and knows from
// where another attempt has to go on. It is pure.
package stream

// Kind tells what an event of an engine's stream is.
type Kind int

// The kinds of event.
const (
	// KindTokens holds answer tokens, or only the role when it has no offset.
	KindTokens Kind = iota
	// KindFinish holds the finish reason, and perhaps the last tokens.
	KindFinish
	// KindUsage holds the token counts.
	KindUsage
	// KindDone is the end marker.
	KindDone
	// KindError is an error that the engine reports inside its stream.
	KindError
)

// NoOffset is the Offset of an event without one.
const NoOffset = -1

// Frame is one event of an engine's stream.
type Frame struct {
	Kind Kind
	// Offset is the number of answer tokens before the event, or NoOffset.
	Offset int
	// Tokens is how many answer tokens the event holds.
	Tokens int
	// Text is the answer text of the event as JSON writes it between the quotes.
	Text []byte
	// Opaque is set when the event carries more of the answer than its text, such
	// as a tool call. An answer with such an event cannot be resumed.
	Opaque bool
	// Data is the event's data as received.
	Data []byte
}

// Action is what to do with a frame.
type Action int

// The actions.
const (
	// Send passes the frame on to the caller.
	Send Action = iota
	// Drop forgets the frame: the caller has it already, or it is of another attempt.
	Drop
	// Break gives the attempt up: what follows cannot be trusted.
	Break
	// Complete ends the answer: all of it was sent.
	Complete
)

// Reason says why an attempt was given up.
type Reason string

// The reasons for giving up an attempt.
const (
	ReasonGap         Reason = "gap"
	ReasonOverlap     Reason = "overlap"
	ReasonNoOffset    Reason = "no_offset"
	ReasonAfterFinish Reason = "tokens_after_finish"
	ReasonNoFinish    Reason = "end_without_finish"
	ReasonCut         Reason = "cut"
	ReasonEngineError Reason = "engine_error"
)

// Verdict is the decision on one frame. Reason is set when Action is Break.
type Verdict struct {
	Action Action
	Reason Reason
}

// Assembler follows one answer over its attempts. Its zero value has no attempt;
// Begin starts the first.
type Assembler struct {
	attempt  int
	broken   bool
	next     int
	text     []byte
	opaque   bool
	sentAny  bool
	finished bool
	usage    bool
	complete bool
}

// Begin starts an attempt. Frames of all other attempts are dropped from now on.
func (a *Assembler) Begin(attempt int) {
	a.attempt = attempt
	a.broken = false
}

// Offset is how many tokens the caller was sent; another attempt resumes here.
func (a *Assembler) Offset() int { return a.next }

// Text is the text that the caller was sent, as JSON writes it between the
// quotes. It is valid until the next call of Accept.
func (a *Assembler) Text() []byte { return a.text }

// Started tells whether the caller was sent anything.
func (a *Assembler) Started() bool { return a.sentAny }

// Resumable tells whether another attempt can go on from Offset and Text.
func (a *Assembler) Resumable() bool { return !a.opaque }

// Accept decides on a frame that an attempt's connection gave.
func (a *Assembler) Accept(attempt int, frame Frame) Verdict {
	if attempt != a.attempt || a.broken || a.complete {
		return Verdict{Action: Drop}
	}
	switch frame.Kind {
	case KindTokens:
		return a.acceptTokens(frame)
	case KindFinish:
		return a.acceptFinish(frame)
	case KindUsage:
		return a.acceptUsage()
	case KindDone:
		return a.acceptDone()
	default:
		return a.giveUp(ReasonEngineError)
	}
}

// End takes the end of an attempt's connection, clean or not. Without the end
// marker before it the attempt is broken.
func (a *Assembler) End(attempt int) Verdict {
	if attempt != a.attempt || a.broken || a.complete {
		return Verdict{Action: Drop}
	}
	return a.giveUp(ReasonCut)
}

func (a *Assembler) acceptTokens(frame Frame) Verdict {
	if frame.Offset == NoOffset {
		return a.acceptRole(frame)
	}
	verdict := a.place(frame)
	if verdict.Action != Send {
		return verdict
	}
	if a.finished {
		return a.giveUp(ReasonAfterFinish)
	}
	a.advance(frame)
	return verdict
}

// acceptRole passes an event without tokens on only if it opens the answer.
func (a *Assembler) acceptRole(frame Frame) Verdict {
	if len(frame.Text) > 0 || frame.Opaque {
		return a.giveUp(ReasonNoOffset)
	}
	if a.sentAny {
		return Verdict{Action: Drop}
	}
	a.sentAny = true
	return Verdict{Action: Send}
}

func (a *Assembler) acceptFinish(frame Frame) Verdict {
	if a.finished {
		return Verdict{Action: Drop}
	}
	if frame.Offset == NoOffset {
		return a.giveUp(ReasonNoOffset)
	}
	verdict := a.place(frame)
	if verdict.Action != Send {
		return verdict
	}
	a.advance(frame)
	a.finished = true
	return verdict
}

// acceptUsage passes the token counts on once, after the finish reason.
func (a *Assembler) acceptUsage() Verdict {
	if a.usage || !a.finished {
		return Verdict{Action: Drop}
	}
	a.usage = true
	return Verdict{Action: Send}
}

func (a *Assembler) acceptDone() Verdict {
	if !a.finished {
		return a.giveUp(ReasonNoFinish)
	}
	a.complete = true
	return Verdict{Action: Complete}
}

// place compares a frame's tokens with what the caller was sent.
func (a *Assembler) place(frame Frame) Verdict {
	end := frame.Offset + frame.Tokens
	switch {
	case frame.Offset == a.next:
		return Verdict{Action: Send}
	case frame.Offset > a.next:
		return a.giveUp(ReasonGap)
	case end <= a.next:
		return Verdict{Action: Drop}
	default:
		return a.giveUp(ReasonOverlap)
	}
}

func (a *Assembler) advance(frame Frame) {
	a.next = frame.Offset + frame.Tokens
	a.text = append(a.text, frame.Text...)
	a.opaque = a.opaque || frame.Opaque
	a.sentAny = true
}

func (a *Assembler) giveUp(reason Reason) Verdict {
	a.broken = true
	return Verdict{Action: Break, Reason: reason}
}
