package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuckWriter stops taking bytes until it is let go.
type stuckWriter struct {
	release chan struct{}
	taken   bytes.Buffer
}

// Write implements io.Writer.
func (s *stuckWriter) Write(line []byte) (int, error) {
	<-s.release
	return s.taken.Write(line)
}

// TestStuckReaderNeverBlocks writes more lines than the queue holds while the
// output takes none, and expects the loss to be told afterwards.
func TestStuckReaderNeverBlocks(t *testing.T) {
	output := &stuckWriter{release: make(chan struct{})}
	writer := NewWriter(output)
	done := make(chan struct{})
	go func() {
		for range 3 * queueLines {
			_, _ = writer.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing blocked")
	}
	assert.Assert(t, writer.Dropped() >= 2*queueLines-1)
	close(output.release)
	writer.Stop(10 * time.Second)
	assert.Assert(t, strings.Contains(output.taken.String(), "Lines were dropped"))
}

// TestLinesAfterTheEndAreDropped logs from other goroutines while the writer stops, as parts
// of a daemon do that end last.
func TestLinesAfterTheEndAreDropped(t *testing.T) {
	var output bytes.Buffer
	writer := NewWriter(&output)
	_, _ = writer.Write([]byte("before\n"))
	begun := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for number := range 1000 {
			_, _ = writer.Write([]byte("late\n"))
			if number == 10 {
				close(begun)
			}
		}
	}()
	<-begun
	writer.Stop(10 * time.Second)
	_, _ = writer.Write([]byte("last\n"))
	<-ended
	assert.Assert(t, strings.HasPrefix(output.String(), "before\n"))
	assert.Assert(t, !strings.Contains(output.String(), "last"))
}
