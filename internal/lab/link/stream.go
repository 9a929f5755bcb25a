package link

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	pieceBytes  = 32 << 10
	dialTimeout = 2 * time.Second
)

// connection is a forwarded connection: the caller's and the one to the target.
type connection struct {
	link   *Link
	ctx    context.Context
	cancel context.CancelFunc

	mutex  sync.Mutex
	closed bool
	ends   []*net.TCPConn
}

// accept takes connections until the listener is closed.
func (l *Link) accept() {
	for {
		accepted, err := l.listener.Accept()
		if err != nil {
			return
		}
		opened := &connection{link: l}
		opened.ctx, opened.cancel = context.WithCancel(l.context)
		opened.own(accepted.(*net.TCPConn))
		if !l.add(opened) {
			opened.reset()
			continue
		}
		l.running.Go(opened.run)
	}
}

// own makes an end part of the connection. An end that comes after the reset is
// reset at once.
func (c *connection) own(end *net.TCPConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ends = append(c.ends, end)
	if c.closed {
		abort(end)
	}
}

// reset ends both sides so that each sees a reset.
func (c *connection) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	c.cancel()
	for _, end := range c.ends {
		abort(end)
	}
}

func abort(end *net.TCPConn) {
	_ = end.SetLinger(0) // a failure leaves an ordinary close
	_ = end.Close()
}

// run connects to the target and carries both directions to their ends.
func (c *connection) run() {
	defer c.link.remove(c)
	defer c.reset()
	if !c.awaitSound() {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(c.ctx, "tcp", c.link.target)
	if err != nil {
		return
	}
	c.own(dialed.(*net.TCPConn))
	caller, target := c.ends[0], c.ends[1]
	var directions sync.WaitGroup
	directions.Go(func() { c.carry(target, caller) })
	directions.Go(func() { c.carry(caller, target) })
	directions.Wait()
}

// carry copies one direction and passes its orderly end on; a broken end breaks
// the whole connection.
func (c *connection) carry(to, from *net.TCPConn) {
	buffer := make([]byte, pieceBytes)
	for {
		count, err := from.Read(buffer)
		if !c.awaitSound() {
			return
		}
		if count > 0 {
			if _, writeError := to.Write(buffer[:count]); writeError != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			c.passEnd(to, err)
			return
		}
	}
}

// passEnd passes an orderly end on and turns any other into a reset.
func (c *connection) passEnd(to *net.TCPConn, cause error) {
	if isEnd(cause) && to.CloseWrite() == nil {
		return
	}
	c.reset()
}

// awaitSound waits while the link is silent, and for its delay. It returns false
// when the connection was reset meanwhile.
func (c *connection) awaitSound() bool {
	for {
		state, changed := c.link.current()
		if state.Silent {
			select {
			case <-changed:
				continue
			case <-c.ctx.Done():
				return false
			}
		}
		if state.Delay == 0 {
			return c.ctx.Err() == nil
		}
		select {
		case <-time.After(state.Delay):
			return c.ctx.Err() == nil
		case <-c.ctx.Done():
			return false
		}
	}
}
