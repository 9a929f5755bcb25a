package capacity

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/adapter/enginehttp"
	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/claim"
	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
)

// Parameters of the measurements on sockets.
const (
	sharedKey      = "capacity shared key 0123456789"
	voteRoute      = "/claims/vote"
	connections    = 200
	datagramBody   = 300
	datagramWindow = 16
)

// countedListener counts the bytes of its connections, both ways, without the
// headers of TCP and IP.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return countedConnection{Conn: connection, bytes: l.bytes}, err
}

type countedConnection struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c countedConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

// served is an HTTP server on loopback.
type served struct {
	address string
	bytes   atomic.Int64
	server  *http.Server
}

func serve(handler http.Handler) (*served, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	made := &served{address: listener.Addr().String(), server: &http.Server{Handler: handler}}
	go func() { _ = made.server.Serve(countedListener{Listener: listener, bytes: &made.bytes}) }() // ends with close
	return made, nil
}

func (s *served) close() { _ = s.server.Close() } // nothing is left to do about a failure

// measureExchange measures the processor time and the bytes of one exchange.
func (m *measurement) measureExchange(server *served, exchange func() error) (time, bytes projection.Slope) {
	m.note(exchange())
	server.bytes.Store(0)
	calls := 0
	time = m.watch.one(func() {
		m.note(exchange())
		calls++
	})
	return time, projection.Constant(bytesUnit, float64(server.bytes.Load())/float64(calls))
}

// measureCalls measures peer calls, datagrams and status questions.
func (m *measurement) measureCalls() {
	ring, err := keyring.New([]byte(sharedKey))
	if err != nil {
		m.note(err)
		return
	}
	m.measurePeerCalls(ring)
	m.measureConnections(ring)
	m.measureDatagrams(ring)
	m.measurePolls()
}

func votingServer(ring *keyring.Ring) (*served, error) {
	server := peer.NewServer(ring, time.Now, prometheus.NewRegistry())
	peer.Handle(server, voteRoute, func(_ context.Context, request claim.ClaimRequest) (claim.ClaimReply, error) {
		return claim.ClaimReply{From: daemonName(1), Epoch: request.Epoch, Claimant: request.Claimant, Answer: claim.AnswerVoted}, nil
	})
	return serve(server)
}

// measurePeerCalls measures a call with the message of a claim's vote.
func (m *measurement) measurePeerCalls(ring *keyring.Ring) {
	server, err := votingServer(ring)
	if err != nil {
		m.note(err)
		return
	}
	defer server.close()
	client := peer.NewClient(ring, daemonName(0), time.Now)
	defer client.Close()
	request := claim.ClaimRequest{Epoch: 1, Claimant: claim.Claimant{Daemon: daemonName(0), Incarnation: firstIncarnation, Sequence: 1}}
	m.slopes.Call.PeerSeconds, m.slopes.Call.PeerBytes = m.measureExchange(server, func() error {
		var reply claim.ClaimReply
		return client.Call(context.Background(), server.address, voteRoute, request, &reply)
	})
}

// measureConnections measures the heap and stacks of kept connections, of which
// both ends are in this process.
func (m *measurement) measureConnections(ring *keyring.Ring) {
	server, err := votingServer(ring)
	if err != nil {
		m.note(err)
		return
	}
	defer server.close()
	clients := make([]*peer.Client, connections)
	before := heapAndStacks()
	for index := range clients {
		clients[index] = peer.NewClient(ring, daemonName(index), time.Now)
		var reply claim.ClaimReply
		m.note(clients[index].Call(context.Background(), server.address, voteRoute, claim.ClaimRequest{}, &reply))
	}
	after := heapAndStacks()
	for _, client := range clients {
		client.Close()
	}
	m.slopes.Call.ConnectionBytes = projection.Constant(bytesUnit, float64(after-before)/connections/2)
}

// measureDatagrams sends datagrams of an ordinary size over loopback, some at a
// time, since a daemon's also come in groups.
func (m *measurement) measureDatagrams(ring *keyring.Ring) {
	conn, err := datagram.Listen("127.0.0.1:0", ring, daemonName(0), time.Now, prometheus.NewRegistry())
	if err != nil {
		m.note(err)
		return
	}
	defer conn.Close()
	arrived := make(chan struct{}, datagramWindow)
	go func() {
		_ = datagram.Receive(conn, func(datagram.Message[[]byte]) { arrived <- struct{}{} }) // ends with the socket
	}()
	body := make([]byte, datagramBody)
	perWindow := m.watch.each(func() {
		for range datagramWindow {
			m.note(conn.Send(conn.Address(), body))
		}
		for range datagramWindow {
			<-arrived
		}
	})
	m.slopes.Call.DatagramSeconds = projection.Constant(seconds, perWindow/datagramWindow)
}

// measurePolls measures one status question, client and answering server together.
func (m *measurement) measurePolls() {
	status := newFleet(m.sizes, 1).statuses[0]
	server, err := serve(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(status) // the client sees a failure
	}))
	if err != nil {
		m.note(err)
		return
	}
	defer server.close()
	client := enginehttp.New(enginehttp.Options{})
	defer client.CloseIdle()
	m.slopes.Backends.PollSeconds, m.slopes.Backends.PollBytes = m.measureExchange(server, func() error {
		_, err := client.Status(context.Background(), server.address)
		return err
	})
}
