package hollowwatch

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/enginehttp"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/standin/engine"
)

// packetBytes is the IPv4 and TCP headers of one packet; a poll on a kept
// connection takes three: question, answer, acknowledgement.
const (
	packetBytes    = 52
	packetsPerPoll = 3
)

// countingListener counts the bytes that pass its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.bytes.Add(int64(count))
	return count, err
}

func (c countingConn) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// BenchmarkStatusPoll measures one status poll of a stand-in engine with two
// models over loopback: bytes both ways, and processor time of both sides.
func BenchmarkStatusPoll(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	var bytes atomic.Int64
	options := engine.Options{ID: "runner-0001"}
	for number := range engineModels {
		options.Models = append(options.Models, engine.ModelVersion{
			Model: identity.ModelName(fmt.Sprintf("model-%d", number)), Version: "2026-12-01",
		})
	}
	done := make(chan error, 1)
	go func() { done <- engine.New(options).Serve(ctx, countingListener{listener, &bytes}) }()
	defer func() {
		cancel()
		assert.NilError(b, <-done)
	}()
	client := enginehttp.New(enginehttp.Options{})
	ask := func() {
		limited, release := context.WithTimeout(ctx, 5*time.Second)
		defer release()
		_, err := client.Status(limited, listener.Addr().String())
		assert.NilError(b, err)
	}
	ask() // opens the connection
	before, processor := bytes.Load(), processorTime()
	b.ResetTimer()
	for range b.N {
		ask()
	}
	b.StopTimer()
	perPoll := float64(bytes.Load()-before)/float64(b.N) + packetBytes*packetsPerPoll
	b.ReportMetric(perPoll, "bytes/poll")
	b.ReportMetric(float64((processorTime()-processor).Microseconds())/float64(b.N), "cpu-µs/poll")
}
