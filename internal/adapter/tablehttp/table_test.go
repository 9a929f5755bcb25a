package tablehttp_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/machinehttp"
	"github.com/lotusward/lotusward/internal/adapter/objecthttp"
	"github.com/lotusward/lotusward/internal/adapter/tablehttp"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/standin/platform"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// startPlatform serves a platform stand-in until the test ends.
func startPlatform(t *testing.T) (*platform.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := platform.New(platform.Options{})
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-served)
	})
	return server, "http://" + listener.Addr().String()
}

// put writes one row without a condition.
func put(key, value string) platformwire.Transaction {
	return platformwire.Transaction{Writes: []platformwire.Write{{Key: key, Value: []byte(value)}}}
}

// commitInTime commits with a time limit.
func commitInTime(table port.TableService, transaction platformwire.Transaction) error {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := table.Commit(ctx, transaction)
	return err
}

// TestFailuresAreTyped meets each fault and checks both the error and the effect.
func TestFailuresAreTyped(t *testing.T) {
	var limited *port.RateLimitedError
	var unavailable *port.UnavailableError
	var unknown *port.OutcomeUnknownError
	cases := []struct {
		name   string
		faults platform.ServiceFaults
		want   any
		effect bool
	}{
		{"refused", platform.ServiceFaults{Outage: platform.OutageRefuse}, &unavailable, false},
		{"rate limited", platform.ServiceFaults{RequestsPerSecond: 0.001}, &limited, false},
		{"hanging", platform.ServiceFaults{Outage: platform.OutageHang}, &unknown, false},
		{"answer lost", platform.ServiceFaults{LoseAnswerEvery: 1}, &unknown, true},
		{"answer late", platform.ServiceFaults{AnswerLatencyMilliseconds: 60_000}, &unknown, true},
	}
	server, url := startPlatform(t)
	table := tablehttp.New(url, &http.Client{Transport: &http.Transport{}})
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server.SetFaults(platform.Faults{Table: test.faults})
			if test.faults.RequestsPerSecond > 0 {
				// A limiter allows one call at the start.
				assert.NilError(t, commitInTime(table, put("first", "x")))
			}
			err := commitInTime(table, put(test.name, "x"))
			assert.Assert(t, errors.As(err, test.want), "got %v", err)
			assert.Equal(t, len(server.Table().Read([]string{test.name})) == 1, test.effect)
		})
	}
}

// TestNothingListening checks that a refused connection has certainly no effect.
func TestNothingListening(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = tablehttp.New(url, nil).Commit(context.Background(), put("key", "x"))
	var unavailable *port.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "got %v", err)
}

// TestConcurrentIncrementsLoseNothing runs conditional commits against each other:
// the final value must be the number of commits that were accepted.
func TestConcurrentIncrementsLoseNothing(t *testing.T) {
	const workers, tries = 4, 25
	server, url := startPlatform(t)
	accepted := make([]int, workers)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			table := tablehttp.New(url, nil)
			for range tries {
				if increment(table) == nil {
					accepted[worker]++
				}
			}
		})
	}
	group.Wait()
	total := accepted[0] + accepted[1] + accepted[2] + accepted[3]
	assert.Equal(t, string(server.Table().Read([]string{"counter"})[0].Value), strconv.Itoa(total))
}

// increment adds one to a counter if nobody else does at the same time.
func increment(table port.TableService) error {
	ctx := context.Background()
	rows, err := table.Read(ctx, "counter")
	if err != nil {
		return err
	}
	var version uint64
	value := 0
	if len(rows) == 1 {
		version = rows[0].Version
		value, _ = strconv.Atoi(string(rows[0].Value))
	}
	transaction := put("counter", strconv.Itoa(value+1))
	transaction.Conditions = []platformwire.Condition{{Key: "counter", Version: version}}
	_, err = table.Commit(ctx, transaction)
	return err
}

// TestObjectsAndMachines makes one round trip with each of the other services.
func TestObjectsAndMachines(t *testing.T) {
	ctx := context.Background()
	server, url := startPlatform(t)
	objects := objecthttp.New(url, nil)
	key := "prefixes/race 1%/log"
	assert.NilError(t, objects.Put(ctx, key, []byte("text")))
	body, err := objects.Get(ctx, key)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "text")
	var missing *port.NotFoundError
	_, err = objects.Get(ctx, "none")
	assert.Assert(t, errors.As(err, &missing))

	server.PutMachine(platformwire.Machine{ID: "engine-1", Zone: "rosehill"})
	list, err := machinehttp.New(url, nil).Machines(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(list.Machines[0].Zone), "rosehill")
}
