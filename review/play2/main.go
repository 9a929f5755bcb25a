// Command review-play2 plays the scripted cases of the second review: it starts the daemon as separate processes, before stand-ins of
// the store, of runners and of clients in this process, and judges what these saw.
//
//	review-play2 [-trouble=false] CASE RECORD
//
// CASE is surplus, reborn or lateorder.
//
// It exits with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the file that tells what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
	// folder is for the settings and the output of the daemons.
	folder string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-play2-")
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now(), folder: folder}, nil
}

// note writes one line, which begins with the time since the start.
func (r *record) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.folder)
}

// exitAtSignal ends an interrupted play as one that couldn't run. The kernel ends the daemons with it.
func (r *record) exitAtSignal(signals <-chan os.Signal) {
	r.note("the case couldn't run: %v", <-signals)
	r.close()
	os.Exit(exitNotRun)
}

// init locks main to the first thread, which lives as long as the process: the daemons end with the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	plays := map[string]func(*record, bool) int{"surplus": playSurplus, "reborn": playReborn, "lateorder": playLateOrder}
	play := plays[flag.Arg(0)]
	if flag.NArg() != 2 || play == nil {
		fmt.Fprintln(os.Stderr, "usage: review-play2 [-trouble=false] surplus|reborn|lateorder RECORD")
		os.Exit(exitNotRun)
	}
	written, err := newRecord(flag.Arg(1))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go written.exitAtSignal(signals)
	code := play(written, *trouble)
	written.close()
	os.Exit(code)
}
