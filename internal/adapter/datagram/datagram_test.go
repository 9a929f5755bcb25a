package datagram

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/core/identity"
)

var fixed = time.Unix(1_700_000_000, 0)

func ringOf(t assert.TestingT, keys ...string) *keyring.Ring {
	secrets := [][]byte{}
	for _, key := range keys {
		secrets = append(secrets, []byte(key))
	}
	ring, err := keyring.New(secrets...)
	assert.NilError(t, err)
	return ring
}

func TestOnlyTheWholeUnchangedFrameOpens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring := ringOf(t, "old-key-0123456789", "new-key-0123456789")
		signing := ringOf(t, rapid.SampledFrom([]string{"old-key-0123456789", "new-key-0123456789"}).Draw(t, "key"))
		sender := identity.DaemonID(rapid.StringMatching("[a-z]{1,64}").Draw(t, "sender"))
		body := rapid.SliceOfN(rapid.Byte(), 0, MaximumBodyBytes).Draw(t, "body")
		frame, err := Seal(signing, sender, fixed, body)
		assert.NilError(t, err)

		gotSender, gotBody, err := Open(ring, fixed, frame)
		assert.NilError(t, err)
		assert.Equal(t, gotSender, sender)
		assert.Assert(t, bytes.Equal(gotBody, body))

		changed := append([]byte(nil), frame...)
		position := rapid.IntRange(0, len(changed)-1).Draw(t, "position")
		changed[position] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		_, _, err = Open(ring, fixed, changed)
		assert.Assert(t, err != nil)
		_, _, err = Open(ring, fixed, frame[:rapid.IntRange(0, len(frame)-1).Draw(t, "cut")])
		assert.Assert(t, err != nil)
		_, _, err = Open(ringOf(t, "wrong-key-0123456789"), fixed, frame)
		assert.Assert(t, errors.Is(err, errSignature))
		_, _, err = Open(ring, fixed.Add(DefaultFreshness+time.Second), frame)
		assert.Assert(t, errors.Is(err, errStale))
	})
}

func TestTooLargeMessageIsNotSent(t *testing.T) {
	_, err := Seal(ringOf(t, "new-key-0123456789"), "d", fixed, make([]byte, MaximumBytes))
	assert.Assert(t, errors.Is(err, ErrTooLarge))
}

func FuzzOpen(f *testing.F) {
	ring := ringOf(f, "new-key-0123456789")
	frame, err := Seal(ringOf(f, "other-key-0123456789"), "daemon-1", fixed, []byte("body"))
	assert.NilError(f, err)
	f.Add(frame)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _, err := Open(ring, fixed, data)
		assert.Assert(t, err != nil, "a frame without the key opened")
	})
}

func TestConnDropsAndCountsBadDatagrams(t *testing.T) {
	clock := func() time.Time { return fixed }
	receiver, err := Listen("127.0.0.1:0", ringOf(t, "new-key-0123456789"), "receiver", clock, prometheus.NewRegistry())
	assert.NilError(t, err)
	sender, err := Listen("127.0.0.1:0", ringOf(t, "new-key-0123456789"), "sender", clock, prometheus.NewRegistry())
	assert.NilError(t, err)
	defer sender.Close()
	stranger, err := Listen("127.0.0.1:0", ringOf(t, "wrong-key-0123456789"), "sender", clock, prometheus.NewRegistry())
	assert.NilError(t, err)
	defer stranger.Close()
	plain, err := net.Dial("udp", receiver.Address())
	assert.NilError(t, err)
	defer plain.Close()

	// Loopback keeps the order, so that the good message comes last.
	_, err = plain.Write([]byte("noise"))
	assert.NilError(t, err)
	assert.NilError(t, stranger.Send(receiver.Address(), "forged"))
	assert.NilError(t, sender.Send(receiver.Address(), 7))
	assert.NilError(t, sender.Send(receiver.Address(), "good"))

	var got []Message[string]
	err = Receive(receiver, func(message Message[string]) {
		got = append(got, message)
		assert.NilError(t, receiver.Close())
	})
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Body, "good")
	assert.Equal(t, got[0].Sender, identity.DaemonID("sender"))
	assert.Equal(t, got[0].From, sender.Address())
	for _, reason := range []string{reasonMalformed, reasonSignature, reasonDecode} {
		assert.Equal(t, testutil.ToFloat64(receiver.dropped.WithLabelValues(reason)), 1.0, reason)
	}
}
