package openai

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPartsCoverThePrompt cuts prompts that begin alike: the parts add up to the prompt, the
// shared one has the same name for the same text, and no text is called shared that no
// earlier prompt for the model began with.
func TestPartsCoverThePrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cutter := newSplitter()
		var earlier [][]byte
		names := map[string]string{}
		for range rapid.IntRange(1, 12).Draw(t, "prompts") {
			letter := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "text")
			prompt := append(bytes.Repeat([]byte(letter), rapid.IntRange(0, 3000).Draw(t, "length")), rapid.SliceOfN(rapid.Byte(), 1, 700).Draw(t, "own")...)
			parts := cutter.split("m", prompt)
			total := 0
			for _, part := range parts {
				total += part.Tokens
			}
			assert.Assert(t, total >= tokens(len(prompt)) && total <= tokens(len(prompt))+1)
			if len(parts) == 2 {
				shared := prompt[:parts[0].Tokens*bytesPerToken]
				known, found := names[parts[0].ID]
				assert.Assert(t, !found || known == string(shared))
				names[parts[0].ID] = string(shared)
				matched := false
				for _, before := range earlier {
					matched = matched || bytes.HasPrefix(before, shared)
				}
				assert.Assert(t, matched)
			}
			earlier = append(earlier, prompt)
		}
	})
}

// TestSplitterForgets stays bounded.
func TestSplitterForgets(t *testing.T) {
	cutter := newSplitter()
	for number := range 3 * rememberedBlocks / 4 {
		cutter.split("m", bytes.Repeat([]byte{byte(number), byte(number >> 8), byte(number >> 16), 'x'}, blockBytes))
	}
	assert.Assert(t, len(cutter.newer)+len(cutter.before) <= rememberedBlocks+8)
}
