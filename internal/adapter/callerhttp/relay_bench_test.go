package callerhttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/stream"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const benchChunk = `{"id":"cmpl-0189","object":"chat.completion.chunk","created":1700000000,"model":"recap","choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}`

var benchText = []byte(" lap")

// memoryEngines gives answers from memory; all other calls are unused.
type memoryEngines struct {
	port.Engines
	tokens int
}

func (m *memoryEngines) Generate(context.Context, port.Generation) (port.TokenStream, error) {
	return &memoryStream{tokens: m.tokens, data: []byte(fmt.Sprintf(benchChunk, " lap"))}, nil
}

// memoryStream gives single tokens, each as if it had arrived alone.
type memoryStream struct {
	tokens int
	at     int
	data   []byte
}

func (m *memoryStream) Head() port.AnswerHead { return port.AnswerHead{} }
func (m *memoryStream) Buffered() bool        { return false }
func (m *memoryStream) Close()                {}

func (m *memoryStream) Next() (stream.Frame, error) {
	m.at++
	switch {
	case m.at <= m.tokens:
		return stream.Frame{Offset: m.at - 1, Tokens: 1, Text: benchText, Data: m.data}, nil
	case m.at == m.tokens+1:
		return stream.Frame{Kind: stream.KindFinish, Offset: m.tokens, Data: m.data}, nil
	default:
		return stream.Frame{Kind: stream.KindDone}, nil
	}
}

// discardWriter is a response that goes nowhere.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header            { return d.header }
func (d *discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d *discardWriter) WriteHeader(int)                {}
func (d *discardWriter) FlushError() error              { return nil }

// BenchmarkRelayToken gives the router's own cost of one token, without the
// engine client (see BenchmarkSSEReader) and without sockets.
func BenchmarkRelayToken(b *testing.B) {
	world := newWorld(b, Limits{}, engineBackend("a", ""))
	world.handler.options.Engines = &memoryEngines{tokens: b.N}
	request := httptest.NewRequest(http.MethodPost, enginewire.PathChatCompletions, strings.NewReader(streamedChat))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Content-Type", "application/json")
	b.ReportAllocs()
	b.ResetTimer()
	world.handler.ServeHTTP(&discardWriter{header: http.Header{}}, request)
}

// BenchmarkRelaySockets gives the time of one token through engine, router and
// caller in one process over loopback, one stream at full speed.
func BenchmarkRelaySockets(b *testing.B) {
	engine := benchEngine(b, b.N, 0)
	world := newWorld(b, Limits{}, engineBackend("a", engine.Listener.Addr().String()))
	b.ReportAllocs()
	b.ResetTimer()
	assert.NilError(b, readStream(world.server.URL, nil))
}

// benchEngine streams tokens that carry the time at which they were written.
func benchEngine(b *testing.B, tokens int, interval time.Duration) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(writer)
		var event bytes.Buffer
		next := time.Now()
		for offset := range tokens {
			if interval > 0 {
				next = next.Add(interval)
				time.Sleep(time.Until(next))
			}
			event.Reset()
			_, _ = fmt.Fprintf(&event, "id: %d\ndata: "+benchChunk+"\n\n", offset, strconv.FormatInt(time.Now().UnixNano(), 10))
			_, _ = writer.Write(event.Bytes())
			_ = control.Flush()
		}
		_, _ = fmt.Fprintf(writer, "id: %d+0\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", tokens)
	}))
	b.Cleanup(server.Close)
	return server
}

// readStream reads one streamed answer and passes each token's delay on.
func readStream(url string, observe func(time.Duration)) error {
	request, err := http.NewRequest(http.MethodPost, url+enginewire.PathChatCompletions, strings.NewReader(streamedChat))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	mark := []byte(`"content":"`)
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		at := bytes.Index(lines.Bytes(), mark)
		if at < 0 || observe == nil {
			continue
		}
		text, _, _ := bytes.Cut(lines.Bytes()[at+len(mark):], []byte{'"'})
		nanoseconds, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil {
			return err
		}
		observe(time.Since(time.Unix(0, nanoseconds)))
	}
	return lines.Err()
}

// BenchmarkRelayLatency runs 500 streams of a token each 25 ms, directly to the
// engine and through the router, and reports the delay from the engine's write to
// the caller's read. Engine, router and callers share the process. One iteration
// is one second of streams. The streams step in ten batches, as of ten engines.
func BenchmarkRelayLatency(b *testing.B) {
	const streams = 500
	const interval = 25 * time.Millisecond
	tokens := b.N * int(time.Second/interval)
	engine := benchEngine(b, tokens, interval)
	world := newWorld(b, Limits{}, engineBackend("a", engine.Listener.Addr().String()))
	for _, way := range []struct{ name, url string }{{"direct", engine.URL}, {"routed", world.server.URL}} {
		delays := runStreams(b, streams, interval, way.url)
		b.ReportMetric(float64(delays.ValueAtQuantile(50)), way.name+"-p50-µs")
		b.ReportMetric(float64(delays.ValueAtQuantile(99)), way.name+"-p99-µs")
	}
}

// engineBatches is how many engines' batches step apart from each other.
const engineBatches = 10

// runStreams reads streams at the same time and gathers their delays. The streams
// of one batch get their tokens at the same moment.
func runStreams(b *testing.B, streams int, interval time.Duration, url string) *hdrhistogram.Histogram {
	merged := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mutex sync.Mutex
	var group sync.WaitGroup
	for index := range streams {
		phase := interval * time.Duration(index%engineBatches) / engineBatches
		group.Go(func() {
			time.Sleep(phase)
			own := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			err := readStream(url, func(delay time.Duration) { _ = own.RecordValue(delay.Microseconds()) })
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				b.Error(err)
			}
			merged.Merge(own)
		})
	}
	group.Wait()
	return merged
}

// BenchmarkRequest gives the router's own cost of a whole request of one token,
// without sockets, by the size of the prompt.
func BenchmarkRequest(b *testing.B) {
	for _, kilobytes := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("prompt=%dKB", kilobytes), func(b *testing.B) {
			world := newWorld(b, Limits{}, engineBackend("a", ""))
			world.views.current.Document.Models[0].ContextTokens = 1 << 20
			world.handler.options.Engines = &memoryEngines{tokens: 1}
			text := strings.Repeat(`lap one in 61 seconds,\n `, kilobytes<<10/24)
			body := `{"model":"recap","messages":[{"role":"user","content":"` + text + `"}],"stream":true}`
			b.ReportAllocs()
			for b.Loop() {
				request := httptest.NewRequest(http.MethodPost, enginewire.PathChatCompletions, strings.NewReader(body))
				request.Header.Set("Authorization", "Bearer "+testKey)
				request.Header.Set("Content-Type", "application/json")
				world.handler.ServeHTTP(&discardWriter{header: http.Header{}}, request)
			}
		})
	}
}
