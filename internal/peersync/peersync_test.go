package peersync

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/member"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/freeport/freeporttest"
	"github.com/lotusward/lotusward/internal/port"
)

// teller tells what a test wants.
// testEra is the era of what tellers believe.
const testEra = 3

type teller func(context.Context, directory.Have) directory.Snapshot

// Era implements Teller.
func (t teller) Era() uint64 { return testEra }

func (t teller) Snapshot(ctx context.Context, have directory.Have) directory.Snapshot {
	return t(ctx, have)
}

func (t teller) Update(ctx context.Context, have directory.Have) directory.Update {
	return directory.Update{Snapshot: t(ctx, have)}
}

// serve runs a Server and returns its address once it answers.
func serve(t *testing.T, told teller) string {
	t.Helper()
	return serveTeller(t, told)
}

func serveTeller(t *testing.T, told Teller) string {
	t.Helper()
	address := freeporttest.Address(t)
	log, lines := logtest.NewNullLogger()
	server := NewServer(address, told, log)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	poll.WaitOn(t, answers(address, lines), poll.WithDelay(5*time.Millisecond))
	return address
}

// answers tells whether a server answers at an address: another process may listen there and answer nothing, which the
// server's log tells.
func answers(address string, lines *logtest.Hook) poll.Check {
	client := http.Client{Timeout: 200 * time.Millisecond}
	return func(poll.LogT) poll.Result {
		if entry := lines.LastEntry(); entry != nil {
			return poll.Error(fmt.Errorf("%s %v", entry.Message, entry.Data))
		}
		answer, err := client.Get("http://" + address + "/")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = answer.Body.Close()
		return poll.Success()
	}
}

// TestSnapshotsAreCarriedWhole asks a server: it sees what the asker has and needs, and the
// asker gets what the server told.
func TestSnapshotsAreCarriedWhole(t *testing.T) {
	asked := make(chan directory.Have, 1)
	told := directory.Snapshot{
		Complete: true, ClockLeast: time.Minute, ClockMost: time.Minute + time.Second, RowVersion: 9,
		BackendsTo: 12, HasBackends: true, MembersTo: 4, Members: []member.Descriptor{
			{Address: "10.0.0.1:9", Zone: "a", Capacity: 2}, {Address: "10.0.0.2:9", Capacity: 1},
		},
	}
	address := serve(t, func(_ context.Context, have directory.Have) directory.Snapshot {
		asked <- have
		return told
	})
	client := NewClient(httpexchange.NewPool(httpexchange.Options{}), "10.0.0.9:7", nil)
	have := directory.Have{RowVersion: 3, NeedRowVersion: 9, BackendsTo: 7, NeedBackendsTo: 11}
	got, err := client.Update(context.Background(), address, have, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Snapshot, told)
	assert.Equal(t, <-asked, have)
}

// TestMalformedQuestionsAreRefused sends a request without its parameters.
func TestMalformedQuestionsAreRefused(t *testing.T) {
	address := serve(t, func(context.Context, directory.Have) directory.Snapshot { return directory.Snapshot{} })
	answer, err := http.Get("http://" + address + snapshotPath)
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusBadRequest)
}

// TestBusyServerRefuses lets as many askers wait as are answered at once: one more is
// refused and can ask elsewhere.
func TestBusyServerRefuses(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	address := serve(t, func(context.Context, directory.Have) directory.Snapshot {
		entered <- struct{}{}
		<-leave
		return directory.Snapshot{}
	})
	client := NewClient(httpexchange.NewPool(httpexchange.Options{}), "10.0.0.9:7", nil)
	for range servedAtOnce {
		go func() { _, _ = client.Update(context.Background(), address, directory.Have{}, nil) }()
		<-entered
	}
	defer close(leave)
	_, err := client.Update(context.Background(), address, directory.Have{}, nil)
	assert.DeepEqual(t, err, &directory.BusyError{Address: address})
}

// TestBusyServerNamesThoseItTold asks a daemon that answers as many as it can: the refused one is told who knows by now.
func TestBusyServerNamesThoseItTold(t *testing.T) {
	entered, leave := make(chan struct{}, 2*servedAtOnce), make(chan struct{})
	address := serve(t, func(ctx context.Context, have directory.Have) directory.Snapshot {
		entered <- struct{}{}
		if have.RowVersion > 0 {
			<-leave
		}
		members := make([]member.Descriptor, 100)
		for index := range members {
			members[index] = member.Descriptor{Address: fmt.Sprintf("10.0.%d.%d:9", rand.IntN(250), rand.IntN(250)), Capacity: 1}
		}
		return directory.Snapshot{Complete: true, Members: members}
	})
	pool := httpexchange.NewPool(httpexchange.Options{})
	_, err := NewClient(pool, "10.0.0.7:7", nil).Update(context.Background(), address, directory.Have{}, nil)
	assert.NilError(t, err)
	<-entered
	for range servedAtOnce {
		go func() {
			_, _ = NewClient(pool, "10.0.0.8:7", nil).Update(context.Background(), address, directory.Have{RowVersion: 1}, nil)
		}()
		<-entered
	}
	defer close(leave)
	_, err = NewClient(pool, "10.0.0.9:7", nil).Update(context.Background(), address, directory.Have{}, nil)
	assert.DeepEqual(t, err, &directory.BusyError{Address: address, Others: []string{"10.0.0.7:7"}})
}

// TestServerWithoutAddressSaysSo takes the server's address away: the daemon goes on, and
// its log says why nobody can ask it.
func TestServerWithoutAddressSaysSo(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	log, lines := logtest.NewNullLogger()
	server := NewServer(taken.Addr().String(), nil, log)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if lines.LastEntry() == nil {
			return poll.Continue("nothing is logged")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, lines.LastEntry().Data["address"], taken.Addr().String())
	assert.Equal(t, len(ended), 0)
	cancel()
	assert.NilError(t, <-ended)
}

// TestEarlierBuildsAreToldVersions asks as a build does that knows no eras of the store: what it has is taken for versions of
// the present era, and what it is told are such versions. The present build is told positions.
func TestEarlierBuildsAreToldVersions(t *testing.T) {
	var asked directory.Have
	address := serve(t, func(_ context.Context, have directory.Have) directory.Snapshot {
		asked = have
		return directory.Snapshot{Complete: true, RowVersion: port.PositionOf(testEra, 50), StoreVersion: port.PositionOf(testEra, 60), BackendsTo: port.PositionOf(testEra, 70)}
	})
	for _, path := range []string{snapshotPath, updatePath} {
		answer, err := http.Get("http://" + address + path + "?has_row=40&needs_row=50&has_back_ends=0&needs_back_ends=0")
		assert.NilError(t, err)
		content, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		var told directory.Update
		if path == updatePath {
			told, err = decode(content)
		} else {
			err = codec.Unmarshal(content, &told.Snapshot)
		}
		assert.NilError(t, err)
		assert.Equal(t, asked, directory.Have{RowVersion: port.PositionOf(testEra, 40), NeedRowVersion: port.PositionOf(testEra, 50)})
		assert.DeepEqual(t, told.Snapshot, directory.Snapshot{Complete: true, RowVersion: 50, StoreVersion: 60, BackendsTo: 70})
	}
	client := NewClient(httpexchange.NewPool(httpexchange.Options{}), "", func(string, int) {})
	update, err := client.Update(t.Context(), address, directory.Have{RowVersion: 40}, nil)
	assert.NilError(t, err)
	assert.Equal(t, asked.RowVersion, uint64(40))
	assert.Equal(t, update.Snapshot.RowVersion, port.PositionOf(testEra, 50))
}
