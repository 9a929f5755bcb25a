package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/adminhttp"
	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/adapter/objecthttp"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/adapter/tablehttp"
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/daemon/administration"
	"github.com/lotusward/lotusward/internal/daemon/configuration"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/operator"
	"github.com/lotusward/lotusward/internal/standin/platform"
)

const operatorToken = "operate-token"

// cluster is a platform stand-in with the configuration and administration parts
// of some daemons, all over HTTP on loopback.
type cluster struct {
	t        *testing.T
	platform *platform.Server
	daemons  []*testDaemon
}

type testDaemon struct {
	cluster *cluster
	member  administration.Member
	runner  *configuration.Runner
	admin   http.Handler
	// adminServer and peerServer are where the daemon listens.
	adminServer *httptest.Server
	peerServer  *httptest.Server
	// loseAnswers counts the coming commands whose answers are lost.
	loseAnswers atomic.Int32
	// afterLost runs between a command and the loss of its answer.
	afterLost func()
}

func newCluster(t *testing.T, count int) *cluster {
	made := &cluster{t: t, platform: platform.New(platform.Options{})}
	store := httptest.NewServer(made.platform.Handler())
	t.Cleanup(store.Close)
	ring, err := keyring.New([]byte("0123456789abcdef0123456789abcdef"))
	assert.NilError(t, err)
	for number := range count {
		started := &testDaemon{cluster: made, member: administration.Member{ID: identity.DaemonID(fmt.Sprintf("d%d", number+1))}}
		rpc := peer.NewServer(ring, time.Now, prometheus.NewRegistry())
		started.peerServer = httptest.NewServer(rpc)
		t.Cleanup(started.peerServer.Close)
		started.member.Address = started.peerServer.Listener.Addr().String()
		started.wire(store.URL, ring, rpc)
		made.daemons = append(made.daemons, started)
	}
	for _, started := range made.daemons {
		started.run()
	}
	return made
}

// wire connects a daemon's parts as the daemon's own wiring does.
func (d *testDaemon) wire(storeURL string, ring *keyring.Ring, rpc *peer.Server) {
	client := peer.NewClient(ring, d.member.ID, time.Now)
	d.cluster.t.Cleanup(client.Close)
	d.runner = configuration.New(configuration.Options{
		Self:       configuration.Member{ID: d.member.ID, Address: d.member.Address},
		Table:      tablehttp.New(storeURL, nil),
		Objects:    objecthttp.New(storeURL, nil),
		Peers:      configuration.CallingPeers{Membership: d, Caller: client},
		Log:        logging.Discard(),
		Clock:      time.Now,
		OnDocument: func(*dynamic.Document) {},
		OnIsolated: func(bool) {},
	})
	peer.Handle(rpc, configuration.PathHead, d.runner.HandleHead)
	peer.Handle(rpc, configuration.PathPull, d.runner.HandlePull)
	peer.Handle(rpc, configuration.PathPush, d.runner.HandlePush)
	handler := adminhttp.New(adminhttp.Options{
		Self: d.member.ID,
		Operators: []static.Operator{
			{Name: "otto", Role: static.RoleOperate, TokenSHA256: view.HashKey(operatorToken)},
		},
		Configuration: administration.Configuration{Runner: d.runner},
		State:         &administration.State{Views: d},
		Peers:         &administration.Peers{Others: d.others, Caller: client},
		Log:           logging.Discard(),
	})
	peer.Handle(rpc, administration.PathTable, administration.HandleTable(handler))
	d.admin = handler
	d.adminServer = httptest.NewServer(http.HandlerFunc(d.serveAdmin))
	d.cluster.t.Cleanup(d.adminServer.Close)
}

// serveAdmin loses an answer by breaking the connection after the handler ran.
func (d *testDaemon) serveAdmin(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost || d.loseAnswers.Add(-1) < 0 {
		d.admin.ServeHTTP(writer, request)
		return
	}
	d.admin.ServeHTTP(httptest.NewRecorder(), request)
	if d.afterLost != nil {
		d.afterLost()
	}
	panic(http.ErrAbortHandler)
}

func (d *testDaemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.runner.Run(ctx)
	}()
	d.cluster.t.Cleanup(func() { cancel(); <-done })
}

// View implements port.Views.
func (d *testDaemon) View() *view.View { return view.New(d.runner.Document(), nil) }

// Members implements configuration.Membership.
func (d *testDaemon) Members() []configuration.Member {
	var members []configuration.Member
	for _, other := range d.others() {
		members = append(members, configuration.Member{ID: other.ID, Address: other.Address})
	}
	return members
}

// Size implements configuration.Membership.
func (d *testDaemon) Size() int { return len(d.cluster.daemons) }

func (d *testDaemon) others() []administration.Member {
	var others []administration.Member
	for _, other := range d.cluster.daemons {
		if other != d {
			others = append(others, other.member)
		}
	}
	return others
}

// result is one run of lotusctl.
type result struct {
	code   int
	output string
	errors string
}

// control runs lotusctl against some daemons, asked in turn.
func (c *cluster) control(daemons []*testDaemon, arguments ...string) result {
	var addresses []string
	for _, asked := range daemons {
		addresses = append(addresses, asked.adminServer.URL)
	}
	tokenFile := filepath.Join(c.t.TempDir(), "token")
	assert.NilError(c.t, os.WriteFile(tokenFile, []byte(operatorToken+"\n"), 0o600))
	return run("", append([]string{"--address", strings.Join(addresses, ","), "--token-file", tokenFile}, arguments...)...)
}

func run(input string, arguments ...string) result {
	var output, errors bytes.Buffer
	code := operator.Run(context.Background(), arguments, operator.Console{
		Input: strings.NewReader(input), Output: &output, Errors: &errors,
	})
	return result{code: code, output: output.String(), errors: errors.String()}
}
