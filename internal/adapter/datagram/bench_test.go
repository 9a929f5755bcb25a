package datagram

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// BenchmarkLoopback sends a datagram of an ordinary size over loopback and waits
// for it: system calls, signature and encoding on both sides.
func BenchmarkLoopback(b *testing.B) {
	ring := ringOf(b, "new-key-0123456789")
	conn, err := Listen("127.0.0.1:0", ring, "daemon-001", time.Now, prometheus.NewRegistry())
	assert.NilError(b, err)
	defer conn.Close()
	arrived := make(chan struct{})
	go func() {
		// Receive ends with the socket.
		_ = Receive(conn, func(Message[[]byte]) { arrived <- struct{}{} })
	}()
	body := make([]byte, 200)
	for b.Loop() {
		assert.NilError(b, conn.Send(conn.Address(), body))
		<-arrived
	}
}
