// Package eventlog writes structured log lines without ever blocking the part
// that logs. Lines wait in a bounded queue for a writer of its own; when the queue
// is full, the line is dropped and counted, and the count is told as soon as there
// is room again.
package eventlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/logging"
)

// queueLines bounds how many lines wait.
const queueLines = 2048

// Writer is an io.Writer that never blocks.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	written atomic.Uint64
	// stopping is closed when the writer is to end, and stopped when it has.
	stopping chan struct{}
	stopped  chan struct{}
}

// NewWriter starts a writer to an output. Stop ends it.
func NewWriter(output io.Writer) *Writer {
	writer := &Writer{output: output, lines: make(chan []byte, queueLines), stopping: make(chan struct{}), stopped: make(chan struct{})}
	go writer.run()
	return writer
}

// Write implements io.Writer for one line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Written is how many lines were written so far.
func (w *Writer) Written() uint64 { return w.written.Load() }

// Stop writes what is waiting, for a time at most. What is written after it is dropped:
// parts that end last may still log.
func (w *Writer) Stop(patience time.Duration) {
	close(w.stopping)
	select {
	case <-w.stopped:
	case <-time.After(patience):
	}
}

func (w *Writer) run() {
	defer close(w.stopped)
	told := uint64(0)
	for {
		select {
		case line := <-w.lines:
			told = w.put(line, told)
		case <-w.stopping:
			w.putWaiting(told)
			return
		}
	}
}

// putWaiting writes the lines that wait now.
func (w *Writer) putWaiting(told uint64) {
	for range len(w.lines) {
		told = w.put(<-w.lines, told)
	}
}

// put writes a line, after one that tells of dropped ones if there are new ones. It returns
// how many were told.
func (w *Writer) put(line []byte, told uint64) uint64 {
	if dropped := w.dropped.Load(); dropped != told {
		told = dropped
		_, _ = fmt.Fprintf(w.output, `{"level":"warning","msg":"[log] Lines were dropped.","dropped":%d}`+"\n", dropped)
	}
	_, _ = w.output.Write(line)
	w.written.Add(1)
	return told
}

// NewLogger makes a logger with one JSON object a line.
func NewLogger(writer *Writer) (*logrus.Logger, error) {
	return logging.New(writer, logging.FormatJSON, logrus.InfoLevel.String())
}
