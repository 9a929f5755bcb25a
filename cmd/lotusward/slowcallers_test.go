package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	// slowCallers of each kind are there at a time. They would hold more than slowMachineMegabytes.
	slowCallers          = 120
	slowMachineMegabytes = 96
	// slowBodyBytes is announced by callers that send little of it.
	slowBodyBytes = 1 << 20
	smallBody     = 2_000
	tricklePause  = 100 * time.Millisecond
	// healthyRequests are asked for one after the other.
	healthyRequests = 200
)

// head is the head of a request as a caller sends it.
func head(daemon *process, id, path, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nLotusward-Request-Id: %s\r\nLotusward-Request-Deadline-Ms: 60000\r\n%s", path, testHost, testKey, id, more)
}

// slowCaller sends what it sends over one connection and then reads nothing. It ends with the test, or once it is ended.
func slowCaller(t *testing.T, daemon *process, sent string, then func(socket net.Conn)) {
	t.Helper()
	socket, err := net.Dial("tcp4", daemon.front)
	assert.NilError(t, err)
	_ = socket.(*net.TCPConn).SetReadBuffer(4 << 10)
	t.Cleanup(func() { _ = socket.Close() })
	_, err = io.WriteString(socket, sent)
	assert.NilError(t, err)
	if then != nil {
		go then(socket)
	}
}

// trickle sends a byte at a time until the connection ends.
func trickle(socket net.Conn) {
	for {
		time.Sleep(tricklePause)
		if _, err := socket.Write([]byte{'x'}); err != nil {
			return
		}
	}
}

// trickleIn reads ten bytes at a time until the connection ends.
func trickleIn(socket net.Conn) {
	buffer := make([]byte, 10)
	for {
		time.Sleep(tricklePause)
		if _, err := socket.Read(buffer); err != nil {
			return
		}
	}
}

// pour sends half of a body, and then nothing.
func pour(socket net.Conn) { _, _ = io.WriteString(socket, strings.Repeat("b", slowBodyBytes/2)) }

// TestSlowCallersCostNobodyElse has callers of all slow kinds at once, more than the daemon's memory holds: they stop
// within the head, announce a body and send none, half or a byte at a time, and open long streams and read nothing or
// ten bytes at a time. Without a bound they take half a megabyte each, until the machine kills the process and with it
// everybody's requests.
func TestSlowCallersCostNobodyElse(t *testing.T) {
	deployed := newDeployment(t)
	deployed.memoryMegabytes = slowMachineMegabytes
	deployed.page("p1")
	deployed.engine("e1", 20_000, 0)
	deployed.configure(testKey)
	deployed.name(1)
	daemon := deployed.daemon("d1", true)

	before := healthyLatencies(t, daemon, "before", smallBody)
	announced := fmt.Sprintf("Content-Length: %d\r\n\r\n", slowBodyBytes)
	streamHead := "Lotusward-Model: " + testModel + "\r\nLotusward-Token-Usage: 100,10\r\nLotusward-Prompt-Prefix: aa:80,bb:20\r\nContent-Length: 0\r\n\r\n"
	for number := range slowCallers {
		id := fmt.Sprint("slow-", number)
		slowCaller(t, daemon, head(daemon, id+"-head", "/safe/x", ""), nil)
		slowCaller(t, daemon, head(daemon, id+"-none", "/unsafe/x", announced), nil)
		slowCaller(t, daemon, head(daemon, id+"-half", "/unsafe/x", announced), pour)
		slowCaller(t, daemon, head(daemon, id+"-byte", "/unsafe/x", announced), trickle)
		if number%10 == 0 {
			slowCaller(t, daemon, head(daemon, id+"-stream", "/stream/x", streamHead), nil)
			slowCaller(t, daemon, head(daemon, id+"-reads", "/stream/x", streamHead), trickleIn)
		}
	}
	opening := healthyLatencies(t, daemon, "opening", smallBody)
	large := healthyLatencies(t, daemon, "large", slowBodyBytes/2) // slow ones are ended for them
	beside := healthyLatencies(t, daemon, "beside", smallBody)
	t.Logf("p99 of healthy callers: %v before, %v while slow ones come, %v beside them; with long bodies %v",
		percentile99(before), percentile99(opening), percentile99(beside), percentile99(large))

	limit := daemon.gauge(t, "lotusward_held_bytes_limit")
	held := daemon.gauge(t, "lotusward_held_bytes")
	assert.Assert(t, limit > 0 && held <= limit, "%.0f bytes are held, of %.0f", held, limit)
	assert.Assert(t, daemon.gauge(t, `lotusward_slow_callers_ended_total{bound="tenant"}`) > 0)
	assert.Assert(t, strings.Contains(daemon.log(), "A slow caller is ended."))
	if peak := daemon.peakMegabytes(t); !raceEnabled { // the race detector takes several times the memory
		t.Logf("peak memory %.0f MB of %d MB", peak, slowMachineMegabytes)
		assert.Assert(t, peak < slowMachineMegabytes)
	}
	select {
	case <-daemon.ended:
		t.Fatal("the daemon has ended")
	default:
	}
}

// healthyLatencies asks for pages one after the other. All have to be served, also those of the tenant whose other
// callers are slow.
func healthyLatencies(t *testing.T, daemon *process, name string, bodyBytes int) []time.Duration {
	t.Helper()
	var took []time.Duration
	for number := range healthyRequests {
		began := time.Now()
		got := daemon.ask(call{path: "/unsafe/x", id: fmt.Sprint(name, "-", number), body: strings.Repeat("b", bodyBytes)})
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
		assert.Equal(t, got.body, standin.PageBody)
		took = append(took, time.Since(began))
		time.Sleep(20 * time.Millisecond)
	}
	return took
}

func percentile99(took []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(took))
	return sorted[len(sorted)*99/100]
}

// gauge is a figure of the daemon's metrics; zero where it has none.
func (p *process) gauge(t *testing.T, name string) float64 {
	t.Helper()
	response, err := http.Get("http://" + p.metrics + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	found := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (.*)$`).FindSubmatch(body)
	if found == nil {
		return 0
	}
	value, err := strconv.ParseFloat(string(found[1]), 64)
	assert.NilError(t, err)
	return value
}

// peakMegabytes is the most memory that the process has had.
func (p *process) peakMegabytes(t *testing.T) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(t, err)
	found := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	assert.Assert(t, found != nil)
	kilobytes, err := strconv.ParseFloat(string(found[1]), 64)
	assert.NilError(t, err)
	return kilobytes / 1024
}

// TestExpiredCallerIsLetGo guards against memory that is held for a stalled caller past its deadline because there is room.
func TestExpiredCallerIsLetGo(t *testing.T) {
	// deadline leaves time for the answer to fill the caller's buffers, so that the caller is stalled when it passes.
	const deadline = 3 * time.Second
	deployed := newDeployment(t)
	deployed.memoryMegabytes = slowMachineMegabytes
	deployed.engine("e1", 20_000, 0)
	deployed.configure(testKey)
	deployed.name(1)
	daemon := deployed.daemon("d1", true)
	streamHead := fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nLotusward-Request-Id: q\r\nLotusward-Request-Deadline-Ms: %d\r\n", testHost, testKey, deadline.Milliseconds()) +
		"Lotusward-Model: " + testModel + "\r\nLotusward-Token-Usage: 100,10\r\nLotusward-Prompt-Prefix: aa:80,bb:20\r\nContent-Length: 0\r\n\r\n"
	slowCaller(t, daemon, streamHead, nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, line := range daemon.lines("q") {
			if line["outcome"] == "cut" && line["reason"] == "slow_caller" {
				assert.Check(t, line["elapsed_ms"].(float64) >= float64(deadline.Milliseconds()), "it was let go before its deadline: %v", line)
				return poll.Success()
			}
		}
		return poll.Continue("the stream has not ended")
	}, poll.WithTimeout(15*time.Second))
}
