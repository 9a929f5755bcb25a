package enginehttp

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/lotusward/lotusward/internal/core/outcome"
)

// errSealed is returned by writes to a connection whose request was found to
// have sent nothing.
var errSealed = errors.New("enginehttp: connection sealed, its request was given up unsent")

// countedConn counts the writes that were begun, so that it is known for certain
// whether a request can have left.
type countedConn struct {
	net.Conn

	mutex  sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. A write counts from its beginning: what a failed
// write did is not known.
func (c *countedConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mutex.Unlock()
	return c.Conn.Write(data)
}

func (c *countedConn) writeCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// sealIfUnwritten closes the connection for writing if no write was begun since
// the count. It returns whether that is so: then nothing can leave any more.
func (c *countedConn) sealIfUnwritten(since uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}

// dispatch follows one request over the connection that it was given.
type dispatch struct {
	mutex   sync.Mutex
	conn    *countedConn
	before  uint64
	written bool
}

// trace returns a context whose request reports its connection to the dispatch.
func (d *dispatch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: d.gotConn})
}

// gotConn runs before the request is written. A second connection can only be
// given after the first failed unwritten; it is judged as well.
func (d *dispatch) gotConn(info httptrace.GotConnInfo) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.settle()
	d.conn, _ = info.Conn.(*countedConn)
	if d.conn == nil {
		d.written = true
		return
	}
	d.before = d.conn.writeCount()
}

// settle remembers whether anything left on the present connection.
func (d *dispatch) settle() {
	if d.conn != nil && !d.conn.sealIfUnwritten(d.before) {
		d.written = true
	}
}

// evidence judges a request that got no answer.
func (d *dispatch) evidence() outcome.Evidence {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.settle()
	if d.written {
		return outcome.Sent
	}
	return outcome.Unreached
}
