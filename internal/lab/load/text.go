// Package load plays the workload of a scenario against real daemons over HTTP
// in real time, checks every answer to the byte, and gives the same outcomes as
// the simulation, so that both can be set side by side.
package load

import (
	"encoding/binary"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/lab/scenario"
)

// words fill the blocks of a prompt.
var words = []string{
	"lap", "runner", "split", "finish", "record", "season", "club", "recap",
	"pepper", "onion", "simmer", "recipe", "chapter", "pinch", "stove", "dinner",
}

// Texts makes prompt texts from their parts. Texts of documents are kept, since
// many prompts share them. It is safe for use by any goroutine.
type Texts struct {
	mutex sync.Mutex
	kept  map[scenario.Part]string
}

// NewTexts makes an empty store of texts.
func NewTexts() *Texts {
	return &Texts{kept: make(map[scenario.Part]string)}
}

// Prompt returns the text of a prompt. Equal leading parts give equal leading
// bytes, and every part fills whole blocks. Tail is what remains of a block.
func (t *Texts) Prompt(parts []scenario.Part, tailTokens int) string {
	var prompt strings.Builder
	last := len(parts) - 1
	for index, part := range parts {
		if index == last {
			// The last part is the request's own question.
			writePart(&prompt, part)
			continue
		}
		prompt.WriteString(t.shared(part))
	}
	prompt.WriteString(strings.Repeat("?", tailTokens*prefix.BytesPerToken))
	return prompt.String()
}

func (t *Texts) shared(part scenario.Part) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	text, found := t.kept[part]
	if !found {
		var made strings.Builder
		writePart(&made, part)
		text = made.String()
		t.kept[part] = text
	}
	return text
}

// writePart writes the blocks of one part.
func writePart(output *strings.Builder, part scenario.Part) {
	for block := range part.Blocks {
		writeBlock(output, part.Text, block)
	}
}

// writeBlock writes exactly prefix.BlockBytes bytes that depend on text and block.
func writeBlock(output *strings.Builder, text uint64, block int) {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], text)
	binary.LittleEndian.PutUint64(seed[8:], uint64(block))
	remaining := prefix.BlockBytes
	for remaining > 0 {
		draw := xxhash.Sum64(seed[:])
		binary.LittleEndian.PutUint64(seed[:8], draw)
		word := words[draw%uint64(len(words))] + " "
		word = word[:min(len(word), remaining)]
		output.WriteString(word)
		remaining -= len(word)
	}
}
