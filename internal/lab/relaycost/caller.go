package relaycost

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/lotusward/lotusward/internal/lab/machine"
	"github.com/lotusward/lotusward/internal/lab/process"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// stampSeparator stands between the two times of a first token.
const stampSeparator = '/'

// bytesPerToken is the size of a prompt token in bytes.
const bytesPerToken = 4

var (
	errCut     = errors.New("the stream ended without its end marker")
	errNoStamp = errors.New("a token has no time of sending")

	linePrefix = []byte("data: ")
	endMarker  = []byte("[DONE]")
	textName   = []byte(`"text":"`)
)

// path is one way to the engines: directly, through a bare hop, or through the
// daemon.
type path struct {
	into *figures
	// addresses are taken in turn, IP:port.
	addresses []string
	key       string
	// process carries the path; it is nil when the path is direct.
	process *process.Process
}

// scheduling is what the process that carries the path got from the machine.
func (p path) scheduling() (machine.Scheduling, error) {
	if p.process == nil {
		return machine.Scheduling{}, nil
	}
	return machine.SchedulingOf(p.process.ID())
}

// caller sends requests one after the other and measures the answers.
type caller struct {
	client *http.Client
	clock  clock
	prompt string
	tokens int
}

// sample is what one answer gave.
type sample struct {
	// firstAdded is the first token's time from request to caller without the
	// time that the engine held it; tokenDelays are from the sending of each
	// later token to its arrival. All are in nanoseconds.
	firstAdded  int64
	tokenDelays []int64
	// bytes are those of the answer's body.
	bytes int
}

// ask sends one request and reads its answer to the end.
func (c *caller) ask(ctx context.Context, way path, address string) (sample, error) {
	body, err := json.Marshal(map[string]any{
		"model": modelName, "prompt": c.prompt + uuid.NewString(), "max_tokens": c.tokens, "stream": true,
	})
	if err != nil {
		return sample{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+enginewire.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return sample{}, err
	}
	request.Header.Set("Authorization", "Bearer "+way.key)
	request.Header.Set("Content-Type", "application/json")
	sent := c.clock.now()
	response, err := c.client.Do(request)
	if err != nil {
		return sample{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return sample{}, fmt.Errorf("status %s", response.Status)
	}
	reader := answerReader{clock: c.clock, sent: sent, sample: sample{tokenDelays: make([]int64, 0, c.tokens)}}
	return reader.read(bufio.NewReader(response.Body), c.tokens)
}

// answerReader reads one answer.
type answerReader struct {
	clock  clock
	sent   int64
	sample sample
	seen   int
}

func (r *answerReader) read(source *bufio.Reader, tokens int) (sample, error) {
	for {
		line, err := source.ReadSlice('\n')
		arrived := r.clock.now()
		if err != nil {
			return sample{}, errors.Join(errCut, err)
		}
		r.sample.bytes += len(line)
		data, isData := bytes.CutPrefix(line, linePrefix)
		if !isData {
			continue
		}
		if bytes.HasPrefix(data, endMarker) {
			break
		}
		if err := r.token(data, arrived); err != nil {
			return sample{}, err
		}
	}
	if r.seen != tokens {
		return sample{}, fmt.Errorf("%d tokens in place of %d", r.seen, tokens)
	}
	return r.sample, nil
}

// token takes the times out of a token's text.
func (r *answerReader) token(data []byte, arrived int64) error {
	_, rest, found := bytes.Cut(data, textName)
	if !found {
		return errNoStamp
	}
	text, _, _ := bytes.Cut(rest, []byte{'"'})
	sentText, receivedText, isFirst := strings.Cut(string(text), string(stampSeparator))
	sent, err := strconv.ParseInt(sentText, 10, 64)
	if err != nil {
		return errors.Join(errNoStamp, err)
	}
	r.seen++
	if !isFirst {
		r.sample.tokenDelays = append(r.sample.tokenDelays, arrived-sent)
		return nil
	}
	received, err := strconv.ParseInt(receivedText, 10, 64)
	if err != nil {
		return errors.Join(errNoStamp, err)
	}
	r.sample.firstAdded = (arrived - r.sent) - (sent - received)
	return nil
}
