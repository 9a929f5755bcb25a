package httpexchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lotusward/lotusward/internal/clock"
)

// Defaults of Options.
const (
	DefaultDialTimeout = 600 * time.Millisecond
	DefaultIdleTime    = 4 * time.Second
	DefaultIdlePerPeer = 8
	// unacknowledgedTime is after how long the kernel gives up a connection whose
	// sent bytes nobody acknowledges.
	unacknowledgedTime = 3 * time.Second
	// socketBytes bounds what the kernel holds of an answer that isn't read. It would go up to megabytes by itself.
	socketBytes = 128 << 10
	// keepAliveShare is the share of the peer's idle time that is used.
	keepAliveShare = 0.6
)

// Options configure a Pool. Zero values take the defaults.
type Options struct {
	DialTimeout time.Duration
	// IdleTime is how long an unused connection is kept.
	IdleTime time.Duration
	// IdlePerPeer is how many unused connections to one address are kept.
	IdlePerPeer int
	// LocalAddress is the IP that connections come from; empty is any.
	LocalAddress string
	// Dial opens TCP connections; nil uses a net.Dialer that applies LocalAddress. The context it is given ends after
	// DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps unused connections by address. It is safe for use by several
// goroutines.
type Pool struct {
	options Options
	mutex   sync.Mutex
	idle    map[string][]*connection
	opened  atomic.Uint64
	closed  bool
}

// NewPool makes an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTime == 0 {
		options.IdleTime = DefaultIdleTime
	}
	if options.IdlePerPeer == 0 {
		options.IdlePerPeer = DefaultIdlePerPeer
	}
	if options.Dial == nil {
		options.Dial = newDialer(options).DialContext
	}
	return &Pool{options: options, idle: map[string][]*connection{}}
}

func newDialer(options Options) *net.Dialer {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1, Control: setUserTimeout}
	if ip := net.ParseIP(options.LocalAddress); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}

// Opened is how many connections were opened.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// Connect opens a connection to an address and keeps it for later exchanges.
func (p *Pool) Connect(ctx context.Context, address string) error {
	made, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	made.keep(0)
	return nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// connection is one connection with its buffers.
type connection struct {
	pool    *Pool
	address string
	socket  net.Conn
	heads   *headLimiter
	reader  *bufio.Reader
	writer  *bufio.Writer
	reused  bool
	// peer is the identity that the process at the other end has told, or zero.
	peer      uint64
	written   atomic.Int64
	idleUntil time.Time
	closeOnce sync.Once
}

// countingConn counts the bytes that were given to the network.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.written.Add(int64(count))
	return count, err
}

// take returns an unused connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, address string) (*connection, error) {
	for {
		kept := p.pop(address)
		if kept == nil {
			return p.dial(ctx, address)
		}
		if kept.sound() {
			kept.reused = true
			return kept, nil
		}
		kept.close()
	}
}

// pop takes the connection that was used last.
func (p *Pool) pop(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return last
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	socket, err := p.options.Dial(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	if connected, known := socket.(*net.TCPConn); known {
		_ = connected.SetReadBuffer(socketBytes) // where that fails it is as large as the kernel makes it
	}
	made := &connection{pool: p, address: address, socket: socket, heads: &headLimiter{socket: socket}}
	made.reader = bufio.NewReaderSize(made.heads, readBufferBytes)
	made.writer = bufio.NewWriterSize(&countingConn{Conn: socket, written: &made.written}, readBufferBytes)
	return made, nil
}

// sound tells whether an unused connection is open and nothing came on it since
// its last answer.
func (c *connection) sound() bool {
	if clock.Now().After(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(descriptor), one[:])
		quiet = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// stage tells whether any byte of the present request left.
func (c *connection) stage() Stage {
	if c.written.Load() == 0 {
		return StageUnreached
	}
	return StageSent
}

// close closes the connection. It may be called more than once.
func (c *connection) close() {
	c.closeOnce.Do(func() { _ = c.socket.Close() })
}

// keep puts the connection back for a time that is the shorter of the pool's and
// the peer's.
func (c *connection) keep(peerTime time.Duration) {
	idleTime := c.pool.options.IdleTime
	if peerTime > 0 {
		idleTime = min(idleTime, time.Duration(keepAliveShare*float64(peerTime)))
	}
	c.idleUntil = clock.Now().Add(idleTime)
	if c.reader.Buffered() > 0 || !c.pool.push(c) {
		c.close()
	}
}

func (p *Pool) push(kept *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle[kept.address]) >= p.options.IdlePerPeer {
		return false
	}
	p.idle[kept.address] = append(p.idle[kept.address], kept)
	return true
}

// Forget closes the unused connections to an address, at which another process may be now. One whose peer
// ended behind a cut looks sound, and the request on it would be lost.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, kept := range list {
		kept.close()
	}
}

// Sweep closes connections that have been unused for too long.
func (p *Pool) Sweep(now time.Time) {
	for _, old := range p.expired(now) {
		old.close()
	}
}

func (p *Pool) expired(now time.Time) []*connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var old []*connection
	for address, list := range p.idle {
		var left []*connection
		for _, kept := range list {
			if p.closed || now.After(kept.idleUntil) {
				old = append(old, kept)
				continue
			}
			left = append(left, kept)
		}
		if len(left) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = left
	}
	return old
}

// Close closes all unused connections; none is kept any more.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.Sweep(time.Time{})
}

// keepAliveTime reads the peer's idle time out of a Keep-Alive header; zero when
// it tells none.
func keepAliveTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second, time.Millisecond)
		}
	}
	return 0
}
