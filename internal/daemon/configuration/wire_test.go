package configuration

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/config/dynamic"
)

// countedListener counts the bytes of its connections, both ways, without those
// of TCP and IP.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return countedConnection{Conn: connection, bytes: l.bytes}, err
}

type countedConnection struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

func (c countedConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

// servedRunner serves a configured runner, and returns peers that call it.
func servedRunner(b *testing.B) (CallingPeers, Member, *atomic.Int64) {
	ring, err := keyring.New([]byte("benchmark-key-0123456789"))
	assert.NilError(b, err)
	made := newCluster(b, 1, 1)
	runner := made.daemons[0].runner
	for _, operation := range []dynamic.Operation{
		{PutTenant: &dynamic.Tenant{Name: "tenant-07500"}},
		{SetLimits: &dynamic.SetLimits{Tenant: "tenant-07500", Limits: dynamic.TenantLimits{TokensPerSecond: 2000}}},
	} {
		_, err = runner.Propose(context.Background(), dynamic.Change{
			ID: "0193a5f0-7c1e-7b1a-9f54-" + operationName(operation), Operator: "anna", At: epoch, Operation: operation,
		})
		assert.NilError(b, err)
	}
	server := peer.NewServer(ring, time.Now, prometheus.NewRegistry())
	peer.Handle(server, PathHead, runner.HandleHead)
	peer.Handle(server, PathPull, runner.HandlePull)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	count := &atomic.Int64{}
	web := &http.Server{Handler: server}
	go func() { _ = web.Serve(countedListener{Listener: listener, bytes: count}) }()
	b.Cleanup(func() { _ = web.Close() })
	client := peer.NewClient(ring, "daemon-1", time.Now)
	b.Cleanup(client.Close)
	return CallingPeers{Caller: client}, Member{ID: "daemon-0", Address: listener.Addr().String()}, count
}

func operationName(operation dynamic.Operation) string {
	if operation.PutTenant != nil {
		return "3c2d1e0f9a8b"
	}
	return "3c2d1e0f9a8c"
}

// BenchmarkHeadCall reports the time and the bytes of one question for the head.
func BenchmarkHeadCall(b *testing.B) {
	peers, member, count := servedRunner(b)
	calls := 0
	for b.Loop() {
		_, err := peers.Head(context.Background(), member, HeadRequest{})
		assert.NilError(b, err)
		calls++
	}
	b.ReportMetric(float64(count.Load())/float64(calls), "wire-bytes/op")
}

// BenchmarkPullCall reports the time and the bytes of a pull of one change.
func BenchmarkPullCall(b *testing.B) {
	peers, member, count := servedRunner(b)
	calls := 0
	for b.Loop() {
		response, err := peers.Pull(context.Background(), member, PullRequest{From: 1})
		assert.NilError(b, err)
		assert.Equal(b, len(response.Entries), 1)
		calls++
	}
	b.ReportMetric(float64(count.Load())/float64(calls), "wire-bytes/op")
}
