package enginehttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"

	"github.com/lotusward/lotusward/internal/core/stream"
)

// sseBufferBytes holds a few dozen events of usual size.
const sseBufferBytes = 16 << 10

// errEventTooLong says that an event is longer than the limit.
var errEventTooLong = errors.New("server-sent event is longer than the limit")

var (
	fieldID   = []byte("id")
	fieldData = []byte("data")
)

var readerPool = sync.Pool{New: func() any {
	return &sseReader{
		buffered: bufio.NewReaderSize(nil, sseBufferBytes),
		data:     make([]byte, 0, 1<<10),
	}
}}

// sseReader reads server-sent events (WHATWG HTML, section 9.2) as far as engines
// use them: id and data lines. It allocates nothing for an event of usual size.
type sseReader struct {
	buffered *bufio.Reader
	maxBytes int
	data     []byte
	long     []byte
	hasData  bool
	offset   int
	tokens   int
	counted  bool
}

func newSSEReader(source io.Reader, maxBytes int) *sseReader {
	reader := readerPool.Get().(*sseReader)
	reader.buffered.Reset(source)
	reader.maxBytes = maxBytes
	return reader
}

// release gives the reader back for reuse. It must not be used afterwards.
func (r *sseReader) release() {
	r.buffered.Reset(nil)
	if cap(r.long) > sseBufferBytes*4 {
		r.long = nil
	}
	readerPool.Put(r)
}

// next reads one event that has data. An event that the connection's end cuts off
// is not returned: it fails with io.EOF.
func (r *sseReader) next() (stream.Frame, error) {
	r.begin()
	for {
		line, err := r.readLine()
		if err != nil {
			return stream.Frame{}, err
		}
		if len(line) > 0 {
			if err := r.takeLine(line); err != nil {
				return stream.Frame{}, err
			}
			continue
		}
		if r.hasData {
			return r.frame(), nil
		}
		r.begin()
	}
}

func (r *sseReader) begin() {
	r.data = r.data[:0]
	r.hasData = false
	r.offset = stream.NoOffset
	r.tokens = 0
	r.counted = false
}

// readLine returns a line without its end, valid until the next read.
func (r *sseReader) readLine() ([]byte, error) {
	line, err := r.buffered.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

func (r *sseReader) readLongLine(start []byte) ([]byte, error) {
	r.long = append(r.long[:0], start...)
	for {
		part, err := r.buffered.ReadSlice('\n')
		r.long = append(r.long, part...)
		if len(r.long) > r.maxBytes {
			return nil, errEventTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.long, err
		}
	}
}

func (r *sseReader) takeLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch {
	case bytes.Equal(name, fieldData):
		return r.takeData(value)
	case bytes.Equal(name, fieldID):
		return r.takeID(value)
	default: // comments, event names and retry times
		return nil
	}
}

func (r *sseReader) takeData(value []byte) error {
	if r.hasData {
		r.data = append(r.data, '\n')
	}
	if len(r.data)+len(value) > r.maxBytes {
		return errEventTooLong
	}
	r.data = append(r.data, value...)
	r.hasData = true
	return nil
}

// takeID reads OFFSET or OFFSET+COUNT. A bare offset stands for one token.
func (r *sseReader) takeID(value []byte) error {
	offsetText, countText, counted := bytes.Cut(value, []byte{'+'})
	offset, err := parseCount(offsetText)
	if err != nil {
		return err
	}
	tokens := 1
	if counted {
		if tokens, err = parseCount(countText); err != nil {
			return err
		}
	}
	r.offset = offset
	r.tokens = tokens
	r.counted = counted
	return nil
}

// maxCount keeps sums of offsets and counts far from overflow.
const maxCount = 1 << 40

func parseCount(text []byte) (int, error) {
	number, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil || number > maxCount {
		return 0, fmt.Errorf("event id %q is not a token offset", text)
	}
	return int(number), nil
}

func (r *sseReader) frame() stream.Frame {
	frame := stream.Frame{Offset: r.offset, Tokens: r.tokens, Data: r.data}
	classify(&frame)
	if frame.Kind == stream.KindFinish && len(frame.Text) == 0 && !r.counted {
		frame.Tokens = 0
	}
	return frame
}
