package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// firstAsked is how many daemons are asked at first whether they reach a back end, and moreAsked how many more if none
	// of them can tell.
	firstAsked = 3
	moreAsked  = 6
	// answerTimeout is how long the answers of each of these groups are waited for. It covers a check of the asked daemon
	// that times out.
	answerTimeout = 250 * time.Millisecond
	// maxChecks bounds the checks that a daemon makes for others at a time.
	maxChecks = 32
)

// Reachability is what a daemon knows of its own way to a back end.
type Reachability uint8

const (
	// ReachabilityUnknown means that the daemon can't tell, such as without links of its own.
	ReachabilityUnknown Reachability = iota
	// Reached means that the back end accepts connections from the daemon.
	Reached
	// Unreached means that it doesn't, though other back ends do.
	Unreached
)

// String names the reachability in logs.
func (r Reachability) String() string {
	return [...]string{"unknown", "reached", "unreached"}[min(r, Unreached)]
}

// question asks whether the receiver reaches a back end. Fields are only ever added at the end.
type question struct {
	Number uint64
	// Backend is the hash of the back end's ID.
	Backend uint64
}

// reply answers a question. Fields are only ever added at the end.
type reply struct {
	Number, Backend uint64
	Reachability    Reachability
	// Accepts is set if the daemon forwards requests for others now, and Active is how many it has in flight.
	Accepts bool
	Active  int
}

// receivedReply is a reply with its sender.
type receivedReply struct {
	reply
	from string
}

// InquiryOptions configures an Inquiry.
type InquiryOptions struct {
	Link peerlink.Carrier
	// Others returns the addresses of the other daemons.
	Others func() []string
	// IsPresent reports whether datagrams of the daemon at an address arrived lately. Others are asked last, since they may be gone.
	IsPresent func(address string) bool
	// Check reports whether this daemon reaches a back end, given by the hash of its ID. It may block.
	Check func(ctx context.Context, backend uint64) Reachability
	// Capacity reports whether this daemon forwards requests for others now, and how many it has in flight.
	Capacity func() (accepts bool, active int)
}

// Inquiry asks other daemons which back ends they reach, and answers their questions. It is safe for concurrent use.
type Inquiry struct {
	options InquiryOptions
	waiting *peerlink.Questions[receivedReply]
	helpers *helpers
	checks  chan struct{}
}

// NewInquiry returns an Inquiry that answers questions at once.
func NewInquiry(options InquiryOptions) *Inquiry {
	made := &Inquiry{options: options, waiting: peerlink.NewQuestions[receivedReply](), helpers: newHelpers(), checks: make(chan struct{}, maxChecks)}
	peerlink.HandleDecoded(options.Link, peerlink.KindReachQuestion, made.answer)
	peerlink.HandleDecoded(options.Link, peerlink.KindReachAnswer, made.receive)
	return made
}

// answer answers another daemon's question. Beyond maxChecks the question is dropped.
func (i *Inquiry) answer(from string, asked question) {
	select {
	case i.checks <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-i.checks }()
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		reachability := i.options.Check(ctx, asked.Backend)
		accepts, active := i.options.Capacity()
		peerlink.Tell(i.options.Link, from, peerlink.KindReachAnswer, &reply{
			Number: asked.Number, Backend: asked.Backend, Reachability: reachability, Accepts: accepts, Active: active,
		})
	}()
}

func (i *Inquiry) receive(from string, received reply) {
	answered := receivedReply{reply: received, from: from}
	i.helpers.record(clock.Now(), answered)
	i.waiting.Answer(received.Number, answered)
}

// Ask returns whether other daemons reach a back end: Reached if any does, and Unreached if the only ones that can tell
// don't.
func (i *Inquiry) Ask(ctx context.Context, id identity.BackendID) Reachability {
	backend, candidates := rendezvous.Key(string(id)), i.candidates()
	bounded, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	first := min(firstAsked, len(candidates))
	found := i.askAll(bounded, backend, candidates[:first])
	if found != ReachabilityUnknown || first == len(candidates) {
		return found
	}
	again, cancelAgain := context.WithTimeout(ctx, answerTimeout)
	defer cancelAgain()
	return i.askAll(again, backend, candidates[first:min(first+moreAsked, len(candidates))])
}

// candidates returns the daemons to ask: those that were of help lately, then others that are present, then the rest, in
// random order each.
func (i *Inquiry) candidates() []string {
	others := slices.Clone(i.options.Others())
	rand.Shuffle(len(others), func(left, right int) { others[left], others[right] = others[right], others[left] })
	useful := i.helpers.useful(clock.Now())
	rank := make(map[string]int, len(others))
	for _, address := range others {
		switch {
		case useful[address]:
		case i.options.IsPresent(address):
			rank[address] = 1
		default:
			rank[address] = 2
		}
	}
	slices.SortStableFunc(others, func(left, right string) int { return rank[left] - rank[right] })
	return others
}

// askAll asks some daemons, and returns once one reaches the back end, all have answered, or the context has ended.
func (i *Inquiry) askAll(ctx context.Context, backend uint64, addresses []string) Reachability {
	number := i.waiting.Next()
	replies := i.waiting.Await(number, len(addresses))
	defer i.waiting.Forget(number)
	for _, address := range addresses {
		peerlink.Tell(i.options.Link, address, peerlink.KindReachQuestion, &question{Number: number, Backend: backend})
	}
	found := ReachabilityUnknown
	for range addresses {
		select {
		case <-ctx.Done():
			return found
		case received := <-replies:
			if received.Reachability == Reached {
				return Reached
			}
			found = max(found, received.Reachability)
		}
	}
	return found
}
