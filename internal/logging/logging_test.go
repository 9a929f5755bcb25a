package logging

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

type name string

// longestLine is what readers of lines commonly take.
const longestLine = 64 << 10

// TestTextsOfOthersMakeNoEndlessLine guards against lines that a reader of lines can't take, since they hold a whole row that another
// writer left.
func TestTextsOfOthersMakeNoEndlessLine(t *testing.T) {
	var output bytes.Buffer
	logger, err := New(&output, FormatJSON, "info")
	assert.NilError(t, err)
	for _, text := range []string{strings.Repeat("x", 100_000), strings.Repeat("\x00", 100_000), strings.Repeat("\xff", 100_000), strings.Repeat("\n", 100_000)} {
		Part(logger, "part").WithError(errors.New(text)).WithFields(logrus.Fields{
			"address": text, "service": name(text), "added": slices.Repeat([]string{text}, 1000), "removed": slices.Repeat([]name{name(text)}, 1000),
		}).Error(text)
		assert.Assert(t, output.Len() > maxTextBytes && output.Len() < longestLine, "%d bytes", output.Len())
		assert.Equal(t, bytes.Count(output.Bytes(), []byte("\n")), 1)
		output.Reset()
	}
}

// TestShortTextsAreLoggedInFull also checks that the fields of a logger are left as they are.
func TestShortTextsAreLoggedInFull(t *testing.T) {
	var output bytes.Buffer
	logger, err := New(&output, FormatJSON, "info")
	assert.NilError(t, err)
	long := strings.Repeat("y", 2*maxTextBytes)
	log := Part(logger, "part").WithField("long", long).WithField("names", []name{"a", "b"}).WithField("count", 7)
	log.Info("A sentence.")
	assert.Equal(t, log.Data["long"], long)
	for _, part := range []string{`"names":["a","b"]`, `"count":7`, `[part] A sentence.`, `... (2048 bytes)`} {
		assert.Assert(t, strings.Contains(output.String(), part), "%s", output.String())
	}
}
