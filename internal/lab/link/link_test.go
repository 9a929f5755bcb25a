package link

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo serves TCP and UDP on one address and sends everything back.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(accepted, accepted)
				_ = accepted.Close()
			}()
		}
	}()
	datagrams, err := net.ListenPacket("udp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = datagrams.Close() })
	go func() {
		buffer := make([]byte, datagramBytes)
		for {
			count, from, err := datagrams.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = datagrams.WriteTo(buffer[:count], from)
		}
	}()
	return listener.Addr().String()
}

// ask sends over an open connection and reads as much back.
func ask(t *testing.T, connection net.Conn, text string, wait time.Duration) (string, error) {
	t.Helper()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(wait)))
	if _, err := connection.Write([]byte(text)); err != nil {
		return "", err
	}
	answer := make([]byte, len(text))
	count, err := io.ReadFull(connection, answer)
	return string(answer[:count]), err
}

const (
	enough = 10 * time.Second
	// silence is how long the test listens to a silent link.
	silence = 100 * time.Millisecond
)

func dial(t *testing.T, network, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial(network, address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// A sound link carries streams, their ends and datagrams; a silent one carries
// nothing and says nothing; what was silent is reset at the end of the silence; a
// cut resets what is open; afterwards new connections work.
func TestLinkCarriesStaysSilentAndCuts(t *testing.T) {
	link, err := Start(echo(t))
	assert.NilError(t, err)
	defer link.Close()
	stream, datagrams := dial(t, "tcp", link.Address()), dial(t, "udp", link.Address())
	for _, carried := range []net.Conn{stream, datagrams} {
		answer, err := ask(t, carried, "one", enough)
		assert.NilError(t, err)
		assert.Equal(t, answer, "one")
	}

	link.Set(State{Silent: true})
	opened := dial(t, "tcp", link.Address())
	for _, silent := range []net.Conn{stream, datagrams, opened} {
		answer, err := ask(t, silent, "two", silence)
		assert.Assert(t, isTimeout(err), "%q %v", answer, err)
	}
	link.Set(State{})
	for _, reset := range []net.Conn{stream, opened} {
		answer, err := ask(t, reset, "six", enough)
		assert.Assert(t, err != nil, answer)
	}

	stream = dial(t, "tcp", link.Address())
	_, err = ask(t, stream, "one", enough)
	assert.NilError(t, err)
	link.Set(State{Cut: true})
	answer, err := ask(t, stream, "ten", enough)
	assert.Assert(t, err != nil, answer)

	link.Set(State{Delay: time.Millisecond})
	stream = dial(t, "tcp", link.Address())
	answer, err = ask(t, stream, "end", enough)
	assert.NilError(t, err)
	assert.Equal(t, answer, "end")
	assert.NilError(t, stream.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(stream)
	assert.NilError(t, err, "an orderly end is passed on")
	assert.Equal(t, len(rest), 0)
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
