package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	slowPath = "/place/"
	slowKey  = "key-of-runners"
	// slowRequestInterval is between two requests of a daemon's clients, of which one in slowClients doesn't read its answer.
	slowRequestInterval = 30 * time.Millisecond
	slowClients         = 3
	slowDeadline        = 10 * time.Second
	slowTime            = 45 * time.Second
	slowAnswer          = 8 << 20
	slowBody            = 1 << 20
	// slowRunner is how long one of three runners waits before it reads a request's body.
	slowRunner = 3 * time.Second
)

// playSlowReaders sends large requests, which get large answers, to three runners. Unless trouble is unset, a third of the clients
// read no answer, and one runner reads late. A daemon whose memory exceeds its machine's is killed and starts again.
func playSlowReaders(d *deployment, trouble bool) (held bool, err error) {
	d.configure([]any{route(slowPath, int(slowDeadline.Milliseconds()), 1, false, false)}, []any{tenant("club", slowKey, false)})
	for number := range 3 {
		runner, err := d.startRunner(fmt.Sprintf("i-%d", number), "v1", 5, 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		runner.answerBytes = slowAnswer
		if number == 0 && trouble {
			runner.readsAfter = slowRunner
		}
	}
	if err := d.startDaemons(2); err != nil {
		return false, err
	}
	until := time.Now().Add(slowTime)
	var running sync.WaitGroup
	ends := make([]int, len(d.daemons))
	for index, each := range d.daemons {
		running.Go(func() { ends[index] = each.watchMemory(until) })
		running.Go(func() {
			for number := 0; time.Now().Before(until.Add(-slowDeadline)); number++ {
				reads := !trouble || number%slowClients != 0
				running.Go(func() { d.sendLarge(each, fmt.Sprintf("large-%d-%d", index, number), number, reads) })
				time.Sleep(slowRequestInterval)
			}
		})
	}
	running.Wait()
	ended := 0
	for index, count := range ends {
		ended += count
		d.record.note("%s: its memory was %d MB at most", d.daemons[index].name, d.daemons[index].peakMegabytes)
	}
	d.record.conclude("Processes that went over %d MB, by daemon: %v.", memoryMb, ends)
	return ended == 0, nil
}

// sendLarge sends a request with a large body, and reads its answer or leaves it unread until the deadline.
func (d *deployment) sendLarge(to *daemon, id string, number int, reads bool) {
	socket, err := net.DialTimeout("tcp4", to.front(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(slowDeadline))
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n%s: 420,40\r\n%s: %08x:400\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		slowPath, hostName, names.RequestID, id, names.Deadline, slowDeadline.Milliseconds(), names.Model, modelName, names.Usage, names.Prefix, number, slowKey, slowBody)
	if _, err := io.WriteString(socket, head+strings.Repeat("q", slowBody)); err != nil {
		d.record.note("client: %s couldn't be sent: %v", id, err)
		return
	}
	if !reads {
		time.Sleep(slowDeadline)
		return
	}
	first := make([]byte, len("HTTP/1.1 200"))
	_, _ = io.ReadFull(socket, first)
	received, err := io.CopyN(io.Discard, socket, slowAnswer)
	d.record.note("client: %s answered %q, %d B and %v", id, first, received, err)
}
