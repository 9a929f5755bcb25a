package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/port"
)

var (
	oldKey   = []byte("old-key-0123456789")
	newKey   = []byte("new-key-0123456789")
	wrongKey = []byte("wrong-key-0123456789")
	fixed    = time.Unix(1_700_000_000, 0)
)

func clockAt(at time.Time) func() time.Time { return func() time.Time { return at } }

func ringOf(t *testing.T, keys ...[]byte) *keyring.Ring {
	t.Helper()
	ring, err := keyring.New(keys...)
	assert.NilError(t, err)
	return ring
}

type echo struct {
	Text string `msgpack:"text"`
}

// echoServer counts how often its handler ran.
func echoServer(t *testing.T, keys ...[]byte) (server *Server, address string, ran *int) {
	t.Helper()
	ran = new(int)
	server = NewServer(ringOf(t, keys...), clockAt(fixed), prometheus.NewRegistry())
	Handle(server, "/echo", func(ctx context.Context, request echo) (echo, error) {
		*ran++
		if request.Text == "fail" {
			return echo{}, errors.New("failed on purpose")
		}
		return echo{Text: string(Sender(ctx)) + ":" + request.Text}, nil
	})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, listener.Listener.Addr().String(), ran
}

func clientAt(t *testing.T, at time.Time, keys ...[]byte) *Client {
	t.Helper()
	client := NewClient(ringOf(t, keys...), "daemon-1", clockAt(at))
	t.Cleanup(client.Close)
	return client
}

func TestCallReachesTypedHandlerAndCarriesItsError(t *testing.T) {
	_, address, _ := echoServer(t, newKey)
	client := clientAt(t, fixed, newKey)
	var answer echo
	assert.NilError(t, client.Call(context.Background(), address, "/echo", echo{Text: "hello"}, &answer))
	assert.Equal(t, answer.Text, "daemon-1:hello")
	err := client.Call(context.Background(), address, "/echo", echo{Text: "fail"}, &answer)
	var remote *RemoteError
	assert.Assert(t, errors.As(err, &remote), "%v", err)
	assert.Equal(t, remote.Message, "failed on purpose")
}

func TestKeysRotateWithoutALostCall(t *testing.T) {
	rings := [][][]byte{{oldKey}, {oldKey, newKey}, {newKey, oldKey}, {newKey}}
	for step := 0; step+1 < len(rings); step++ {
		for _, pair := range [][2]int{{step, step + 1}, {step + 1, step}} {
			_, address, _ := echoServer(t, rings[pair[0]]...)
			client := clientAt(t, fixed, rings[pair[1]]...)
			assert.NilError(t, client.Call(context.Background(), address, "/echo", echo{}, nil))
		}
	}
}

func TestCallWithoutAKnownKeyIsRefusedAndCounted(t *testing.T) {
	server, address, ran := echoServer(t, newKey)
	err := clientAt(t, fixed, wrongKey).Call(context.Background(), address, "/echo", echo{}, nil)
	var unauthenticated *UnauthenticatedError
	assert.Assert(t, errors.As(err, &unauthenticated), "%v", err)

	unsigned, err := http.Post("http://"+address+"/echo", contentType, bytes.NewReader(nil))
	assert.NilError(t, err)
	assert.NilError(t, unsigned.Body.Close())
	assert.Equal(t, unsigned.StatusCode, http.StatusUnauthorized)

	assert.Equal(t, *ran, 0)
	assert.Equal(t, testutil.ToFloat64(server.refused.WithLabelValues(reasonSignature)), 2.0)
}

func TestStaleAndUnknownPathCallsDidNotReachAHandler(t *testing.T) {
	server, address, ran := echoServer(t, newKey)
	var unavailable *port.UnavailableError
	late := clientAt(t, fixed.Add(-DefaultFreshness-time.Second), newKey)
	assert.Assert(t, errors.As(late.Call(context.Background(), address, "/echo", echo{}, nil), &unavailable))
	fresh := clientAt(t, fixed, newKey)
	assert.Assert(t, errors.As(fresh.Call(context.Background(), address, "/nowhere", echo{}, nil), &unavailable))
	assert.Equal(t, *ran, 0)
	assert.Equal(t, testutil.ToFloat64(server.refused.WithLabelValues(reasonStale)), 1.0)
}

func TestChangedBodyIsRefused(t *testing.T) {
	server, address, ran := echoServer(t, newKey)
	call := &exchange{client: clientAt(t, fixed, newKey), path: "/echo"}
	message, err := call.newRequest(context.Background(), "http://"+address+"/echo", []byte{0x80})
	assert.NilError(t, err)
	message.Body = io.NopCloser(bytes.NewReader([]byte{0x81}))
	answer, err := http.DefaultClient.Do(message)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, answer.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, *ran, 0)
	assert.Equal(t, testutil.ToFloat64(server.refused.WithLabelValues(reasonDigest)), 1.0)
}

func TestAnswerOfAnotherRequestIsNotTaken(t *testing.T) {
	server, _, _ := echoServer(t, newKey)
	crossing := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		server.answer(writer, &http.Request{Header: http.Header{headerSignature: {"another"}}}, http.StatusOK, []byte{0x80})
	}))
	defer crossing.Close()
	err := clientAt(t, fixed, newKey).Call(context.Background(), crossing.Listener.Addr().String(), "/echo", echo{}, nil)
	var unknown *port.OutcomeUnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}

func TestErrorsTellWhetherTheRequestCanHaveReachedThePeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = connection.Read(make([]byte, 1))
		_ = connection.Close()
	}()
	client := clientAt(t, fixed, newKey)
	var unknown *port.OutcomeUnknownError
	err = client.Call(context.Background(), address, "/echo", echo{}, nil)
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	<-accepted
	assert.NilError(t, listener.Close())
	var unavailable *port.UnavailableError
	err = client.Call(context.Background(), address, "/echo", echo{}, nil)
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}
