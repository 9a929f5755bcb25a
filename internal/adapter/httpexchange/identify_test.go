package httpexchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// asked records what a server that tells its identity was asked.
type asked struct {
	mutex   sync.Mutex
	targets []string
}

func (a *asked) add(target string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.targets = append(a.targets, target)
}

func (a *asked) list() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Clone(a.targets)
}

// serveIdentity starts a server whose connections each tell an identity; zero is silent.
func serveIdentity(t *testing.T, identity func(number int) int) (string, *asked) {
	t.Helper()
	got := &asked{}
	address := serveRaw(t, func(number int, socket net.Conn) {
		reader := bufio.NewReader(socket)
		for {
			target, open := readRequest(reader)
			if !open {
				return
			}
			got.add(target)
			body := "x"
			if target == "/who " {
				if identity(number) == 0 {
					continue
				}
				body = strconv.Itoa(identity(number))
			}
			_, _ = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	return address, got
}

// errOtherIdentity is why a request is not sent.
var errOtherIdentity = errors.New("another identity")

// identified returns a request that is sent to a process of an identity, or, unless it is required, to one that doesn't tell.
func identified(expected uint64, required bool) *Request {
	made := request("a")
	made.Identify = &Identification{
		Question: func() *Request {
			return &Request{Method: http.MethodGet, Target: "/who", Host: "h.example", Header: http.Header{}}
		},
		Read: func(answer *Answer) (uint64, error) {
			content, err := answer.ReadAll("identity", 100)
			if err != nil {
				return 0, err
			}
			return strconv.ParseUint(string(content), 10, 64)
		},
		Timeout: 50 * time.Millisecond,
		Accept: func(identity uint64) error {
			if identity == expected || (identity == 0 && !required) {
				return nil
			}
			return errOtherIdentity
		},
	}
	return made
}

func doIdentified(pool *Pool, address string, sent *Request) (peer uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := pool.Do(ctx, address, sent)
	if err != nil {
		return 0, err
	}
	defer answer.Close()
	_, err = answer.ReadAll("answer", 100)
	return answer.Peer, err
}

// TestEachConnectionIsIdentifiedOnce guards against a question for each request.
func TestEachConnectionIsIdentifiedOnce(t *testing.T) {
	address, got := serveIdentity(t, func(int) int { return 7 })
	pool := NewPool(Options{})
	defer pool.Close()
	for range 3 {
		peer, err := doIdentified(pool, address, identified(7, true))
		assert.NilError(t, err)
		assert.Equal(t, peer, uint64(7))
	}
	assert.DeepEqual(t, got.list(), []string{"/who ", "/a//b?c=%2f body", "/a//b?c=%2f body", "/a//b?c=%2f body"})
}

// TestNothingIsSentToAnotherProcess guards against sending a request to a process that was not expected, or is silent.
func TestNothingIsSentToAnotherProcess(t *testing.T) {
	for identity, asked := range map[int][]string{8: {"/who "}, 0: {"/who ", "/who "}} {
		address, got := serveIdentity(t, func(int) int { return identity })
		pool := NewPool(Options{})
		_, err := doIdentified(pool, address, identified(7, true))
		var failed *Error
		assert.Assert(t, errors.As(err, &failed) && errors.Is(err, errOtherIdentity), "%v", err)
		assert.Equal(t, failed.Stage, StageUnreached)
		assert.DeepEqual(t, got.list(), asked)
		pool.Close()
	}
}

// TestSilentProcessGetsWhatNeedsNoIdentity sends a request on a connection of its own after a question without an answer.
func TestSilentProcessGetsWhatNeedsNoIdentity(t *testing.T) {
	address, got := serveIdentity(t, func(int) int { return 0 })
	pool := NewPool(Options{})
	defer pool.Close()
	peer, err := doIdentified(pool, address, identified(7, false))
	assert.NilError(t, err)
	assert.Equal(t, peer, uint64(0))
	assert.DeepEqual(t, got.list(), []string{"/who ", "/who ", "/a//b?c=%2f body"})
}

// TestLaterProcessIsIdentifiedAnew guards against taking what an earlier process told for the one that has its address now.
func TestLaterProcessIsIdentifiedAnew(t *testing.T) {
	address, _ := serveIdentity(t, func(number int) int { return 7 + number })
	pool := NewPool(Options{})
	defer pool.Close()
	_, err := doIdentified(pool, address, identified(7, true))
	assert.NilError(t, err)
	pool.Forget(address)
	_, err = doIdentified(pool, address, identified(7, true))
	assert.ErrorIs(t, err, errOtherIdentity)
}
