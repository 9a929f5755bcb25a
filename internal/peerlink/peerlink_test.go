package peerlink

import (
	"context"
	"net"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/freeport/freeporttest"
	"github.com/lotusward/lotusward/internal/logging"
)

func run(t *testing.T, link *Link) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = link.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if link.socket.Load() != nil {
			return poll.Success()
		}
		return poll.Continue("the socket is not open")
	})
}

type greeting struct{ Text string }

// TestDatagramReachesItsHandlerAlone sends two kinds, and bytes that are no datagram.
func TestDatagramReachesItsHandlerAlone(t *testing.T) {
	sender, receiver := New(freeporttest.Address(t), logging.Discard()), New(freeporttest.Address(t), logging.Discard())
	got := make(chan greeting, 8)
	from := make(chan string, 8)
	HandleDecoded(receiver, KindPlan, func(address string, decoded greeting) {
		got <- decoded
		from <- address
	})
	observed := make(chan string, 8)
	receiver.Observe(func(address string) { observed <- address })
	run(t, sender)
	run(t, receiver)
	other, fits := sender.Encode(KindLoads, greeting{Text: "no handler"})
	assert.Assert(t, fits)
	datagram, fits := sender.Encode(KindPlan, greeting{Text: "hello"})
	assert.Assert(t, fits)
	sender.Send(receiver.Address(), []byte("no datagram"))
	sender.Send(receiver.Address(), other)
	sender.Send("no address", datagram)
	sender.Send(receiver.Address(), datagram)
	assert.Equal(t, (<-got).Text, "hello")
	assert.Equal(t, <-from, sender.Address())
	assert.Equal(t, len(got), 0)
	assert.Equal(t, <-observed, sender.Address())
}

// TestBroadcastReachesAllOthers tells two daemons the same.
func TestBroadcastReachesAllOthers(t *testing.T) {
	sender := New(freeporttest.Address(t), logging.Discard())
	run(t, sender)
	got := make(chan string, 8)
	var others []string
	for range 2 {
		receiver := New(freeporttest.Address(t), logging.Discard())
		HandleDecoded(receiver, KindBulletin, func(_ string, body greeting) { got <- body.Text })
		run(t, receiver)
		others = append(others, receiver.Address())
	}
	broadcaster := NewBroadcaster(sender, Topology{Others: func() []string { return others }}, newCrossing(sender))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = broadcaster.Run(ctx) }()
	broadcaster.Tell(KindBulletin, greeting{Text: string(make([]byte, maximumDatagram))})
	broadcaster.Tell(KindBulletin, greeting{Text: "hello"})
	assert.Equal(t, <-got, "hello")
	assert.Equal(t, <-got, "hello")
}

// TestTooLargeIsNotSent tells that a body doesn't fit one datagram, and says so once.
func TestTooLargeIsNotSent(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	link := New(freeporttest.Address(t), log)
	for range 3 {
		_, fits := link.Encode(KindPlan, greeting{Text: string(make([]byte, maximumDatagram))})
		assert.Assert(t, !fits)
	}
	assert.Equal(t, len(lines.AllEntries()), 1)
	assert.Equal(t, lines.LastEntry().Data["kind"], KindPlan.String())
}

// TestLinkWithoutSocketSaysSo takes the link's address away: the daemon goes on alone, and
// its log says why.
func TestLinkWithoutSocketSaysSo(t *testing.T) {
	taken, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	log, lines := logtest.NewNullLogger()
	link := New(taken.LocalAddr().String(), log)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- link.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if lines.LastEntry() == nil {
			return poll.Continue("nothing is logged")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, lines.LastEntry().Data["address"], taken.LocalAddr().String())
	cancel()
	assert.NilError(t, <-ended)
}
