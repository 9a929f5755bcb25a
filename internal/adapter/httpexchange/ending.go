package httpexchange

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lotusward/lotusward/internal/clock"
)

const (
	// resetTimeout bounds the wait for a reset after the peer has closed its direction while it still receives the request. It is longer
	// than the kernel's shortest time to retransmit, 200 ms, and shorter than the 500 ms after which net/http servers that have
	// answered early reset a connection that they closed in order.
	resetTimeout      = 250 * time.Millisecond
	resetPollInterval = 2 * time.Millisecond
)

// errReset says that an answer without a length ended with a reset of the connection.
var errReset = errors.New("the connection was reset while the request was being sent")

// transmission is the writing of a request. Its error may be read once done is closed.
type transmission struct {
	done chan struct{}
	err  error
}

func newTransmission() *transmission { return &transmission{done: make(chan struct{})} }

// end records how the writing ended.
func (t *transmission) end(err error) {
	t.err = err
	close(t.done)
}

// ended reports whether the writing has ended.
func (t *transmission) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// complete reports whether the whole request was written.
func (t *transmission) complete() bool { return t.ended() && t.err == nil }

// checkEnd returns an error unless a connection whose peer sends nothing more ended in order, in both directions. The kernel reports a
// reset once: if the goroutine that writes the request gets it, the one that reads the answer sees an ordinary end.
func (c *connection) checkEnd(sent *transmission) error {
	for deadline := clock.Now().Add(resetTimeout); ; time.Sleep(resetPollInterval) {
		info, err := c.tcpInfo()
		switch {
		case err != nil:
			return err
		case info.State == unix.BPF_TCP_CLOSE:
			return errReset
		case sent.ended() && sent.err != nil:
			return sent.err
		case sent.ended() && info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		case !clock.Now().Before(deadline): // the peer doesn't read the rest of the request
			return nil
		}
	}
}

// tcpInfo returns the kernel's state of the connection.
func (c *connection) tcpInfo() (*unix.TCPInfo, error) {
	raw, err := c.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var failed error
	if err := raw.Control(func(descriptor uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return nil, err
	}
	return info, failed
}
