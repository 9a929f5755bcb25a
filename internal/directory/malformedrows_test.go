package directory

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// TestMalformedRowIsLoggedOnce guards against logging the same malformed row at each read. Further rows, and rows
// that were repaired and broken again, are logged.
func TestMalformedRowIsLoggedOnce(t *testing.T) {
	logger, hook := logtest.NewNullLogger()
	directory := New(Options{Pool: backendpool.New("a"), Log: logger})
	moment := time.Now()
	read := func(malformed error) {
		moment = moment.Add(time.Second)
		directory.applyListed(message{table: tableBackends, began: moment, ended: moment, listed: &Listed{Malformed: malformed}})
	}
	first, second := errors.New("servers/a: no address"), errors.New("servers/b: no service")
	for range 10 {
		read(first)
	}
	assert.Equal(t, len(hook.AllEntries()), 1)
	read(errors.Join(first, second))
	assert.Equal(t, len(hook.AllEntries()), 2)
	assert.ErrorContains(t, hook.LastEntry().Data["error"].(error), "servers/b")
	assert.Equal(t, directory.MalformedRows()["back_ends"], 2)
	read(nil)
	assert.Equal(t, directory.MalformedRows()["back_ends"], 0)
	read(first)
	assert.Equal(t, len(hook.AllEntries()), 3)
}

// TestMalformedRowsAreBounded checks that at most maxKnownFindings malformed rows are remembered.
func TestMalformedRowsAreBounded(t *testing.T) {
	rows := newMalformedRows()
	for row := range 2 * maxKnownFindings {
		assert.Equal(t, len(rows.noteChanged(tableMembers, fmt.Errorf("members/%d: no address", row))), 1)
	}
	assert.Equal(t, rows.counts()[tableMembers], maxKnownFindings)
	assert.Equal(t, len(rows.noteChanged(tableMembers, errors.New("members/0: no address"))), 0)
}

// TestLongFindingsAreCut guards against remembering whole rows of other writers, and logging each that differs after hundreds of bytes.
func TestLongFindingsAreCut(t *testing.T) {
	rows := newMalformedRows()
	for row := range maxKnownFindings {
		rows.noteChanged(tableMembers, fmt.Errorf("members/1: %s %d", strings.Repeat("x", 60_000), row))
	}
	assert.Equal(t, rows.counts()[tableMembers], 1)
	for finding := range rows.known[tableMembers] {
		assert.Assert(t, len(finding) <= maxFindingBytes)
	}
}
