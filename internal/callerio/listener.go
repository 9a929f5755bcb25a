package callerio

import (
	"net"
	"net/http"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/buffers"
)

const (
	// connectionBytes is about what an open connection takes: its goroutine, and buffers in both directions.
	connectionBytes = 24 << 10
	// socketBytes bounds what the kernel holds of a connection in each direction. It would go up to megabytes by itself
	// for a caller that takes nothing.
	socketBytes = 64 << 10
	// refusedLineRate is how many refused connections a second are logged.
	refusedLineRate = 1
)

// Listener accounts for the connections of a listener.
type Listener struct {
	net.Listener
	ledger *buffers.Tracker
	log    logrus.FieldLogger
	lines  *rate.Limiter
}

// NewListener accounts for a listener's connections in a ledger.
func NewListener(listener net.Listener, ledger *buffers.Tracker, log logrus.FieldLogger) *Listener {
	return &Listener{Listener: listener, ledger: ledger, log: log, lines: rate.NewLimiter(refusedLineRate, refusedLineRate)}
}

// connection is one accounted connection.
type connection struct {
	net.Conn
	account *buffers.Exchange
}

// Accept implements net.Listener. Connections for which there is no room are closed at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limitSocket(accepted)
		made := &connection{Conn: accepted, account: l.ledger.Open(func() { _ = accepted.Close() })}
		now := clock.Now()
		err = made.account.Reserve(now, connectionBytes)
		if err == nil {
			made.account.StartWaiting(now) // for its first request
			return made, nil
		}
		if l.lines.Allow() {
			l.log.WithError(err).WithField("remote", accepted.RemoteAddr().String()).Warn("A connection is refused: there is no memory for it.")
		}
		made.account.Close()
		_ = accepted.Close()
	}
}

// limitSocket bounds the kernel's buffers. Where that fails they are as large as the kernel makes them.
func limitSocket(accepted net.Conn) {
	if socket, known := accepted.(*net.TCPConn); known {
		_ = socket.SetReadBuffer(socketBytes)
		_ = socket.SetWriteBuffer(socketBytes)
	}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// NoteState notes whether a connection of a Listener carries a request. It is for http.Server.ConnState.
func NoteState(accepted net.Conn, state http.ConnState) {
	known, accounted := accepted.(*connection)
	if !accounted {
		return
	}
	switch state {
	case http.StateActive:
		known.account.StopWaiting()
	case http.StateIdle:
		known.account.StartWaiting(clock.Now())
	case http.StateClosed, http.StateHijacked:
		known.account.Close()
	}
}
