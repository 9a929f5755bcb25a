package operator_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/exitcode"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

// imported makes a cluster with the example configuration in force everywhere.
func imported(t *testing.T) *cluster {
	made := newCluster(t, 3)
	file := filepath.Join(t.TempDir(), "configuration.yaml")
	assert.NilError(t, os.WriteFile(file, dynamic.Example, 0o600))
	done := made.control(made.daemons[:1], "--wait", "import-configuration", file)
	assert.Equal(t, done.code, exitcode.OK, done.errors)
	assert.Assert(t, strings.Contains(done.output, "as revision 1,"), done.output)
	assert.Assert(t, strings.Contains(done.output, "in force on 3 of 3 daemons"), done.output)
	return made
}

// rows asks a query and decodes its table.
func (c *cluster) rows(daemon *testDaemon, statement string) []query.Row {
	asked := c.control([]*testDaemon{daemon}, "--output", "json", statement)
	assert.Equal(c.t, asked.code, exitcode.OK, asked.errors)
	var response adminwire.Response
	assert.NilError(c.t, json.Unmarshal([]byte(asked.output), &response))
	return response.Table.Rows
}

func (c *cluster) must(daemon *testDaemon, statement string) {
	done := c.control([]*testDaemon{daemon}, statement)
	assert.Equal(c.t, done.code, exitcode.OK, done.errors)
}

func limitsOf(daemon *testDaemon, tenant string) dynamic.TenantLimits {
	for _, known := range daemon.runner.Document().Tenants {
		if string(known.Name) == tenant {
			return known.Limits
		}
	}
	return dynamic.TenantLimits{}
}

// The answer of a command is lost after it was accepted, and another operator
// changes the same tenant before it is repeated at another daemon. The command
// then stands for another operation than before, and must still count once.
func TestACommandWhoseAnswerIsLostTakesEffectOnce(t *testing.T) {
	made := imported(t)
	first, second := made.daemons[0], made.daemons[1]
	first.loseAnswers.Store(1)
	first.afterLost = func() { made.must(second, "set limits of club-nord weight 9") }

	done := made.control(made.daemons[:2], "--wait", "set limits of club-nord concurrent 7")
	assert.Equal(t, done.code, exitcode.OK, done.errors)
	assert.Assert(t, strings.Contains(done.output, "Accepted before as revision 2,"), done.output)
	limits := limitsOf(second, "club-nord")
	assert.DeepEqual(t, limits, dynamic.TenantLimits{TokensPerSecond: 40000, ConcurrentRequests: 7, Weight: 9})
	assert.Equal(t, len(made.rows(second, `show audit where statement ~ "concurrent 7"`)), 1)
	assert.Equal(t, len(made.rows(second, "show audit")), 3)

	// A declaration can't be made again once it is there; its repetition must
	// not be refused for that.
	const declare = `declare event night from 2026-12-06T18:00Z to 2026-12-06T20:00Z tenants club-sud models coach-llm/meta/llama-3.1-8b@2026-11-02 x 2`
	first.loseAnswers.Store(1)
	first.afterLost = nil
	done = made.control(made.daemons[:2], "--wait", declare+" as night-1")
	assert.Equal(t, done.code, exitcode.OK, done.errors)
	assert.Assert(t, strings.Contains(done.output, "Accepted before as revision 4, change night-1"), done.output)
	done = made.control(made.daemons[1:2], declare)
	assert.Equal(t, done.code, exitcode.Failure)
	assert.Assert(t, strings.Contains(done.errors, `event "night" is declared already`), done.errors)
	done = made.control(made.daemons[1:2], "cancel event curepipe-10k as night-1")
	assert.Equal(t, done.code, exitcode.Failure)
	assert.Assert(t, strings.Contains(done.errors, "was used for another change"), done.errors)
}

func TestAnswersThatTheTableLosesAreFoundOut(t *testing.T) {
	made := imported(t)
	faults := made.platform.Faults()
	faults.Table.LoseAnswerEvery = 1
	made.platform.SetFaults(faults)
	done := made.control(made.daemons, "drain backend runner-09")
	assert.Equal(t, done.code, exitcode.OK, done.errors)
	faults.Table.LoseAnswerEvery = 0
	made.platform.SetFaults(faults)
	assert.Equal(t, len(made.rows(made.daemons[2], `show audit where statement = "drain backend runner-09"`)), 1)
}

func TestRacingOperatorsLoseNoUpdate(t *testing.T) {
	made := imported(t)
	statements := []string{
		"set limits of club-sud tokens-per-second 500", "set limits of club-sud concurrent 50", "set limits of club-sud weight 5",
		"change event curepipe-10k to 2026-12-05T10:00Z", "change event curepipe-10k tenants club-sud",
	}
	var group sync.WaitGroup
	results := make([]result, len(statements))
	for index, statement := range statements {
		group.Go(func() {
			results[index] = made.control(made.daemons[index%3:index%3+1], "--wait", statement)
		})
	}
	group.Wait()
	for index, done := range results {
		assert.Equal(t, done.code, exitcode.OK, "%s: %s", statements[index], done.errors)
	}
	for _, daemon := range made.daemons {
		assert.DeepEqual(t, limitsOf(daemon, "club-sud"), dynamic.TenantLimits{TokensPerSecond: 500, ConcurrentRequests: 50, Weight: 5})
		event := daemon.runner.Document().Events[0]
		assert.Equal(t, event.End.Hour(), 10)
		assert.Equal(t, len(event.Tenants), 1)
	}
	// An operator who names the base gets the conflict with both sides instead.
	done := made.control(made.daemons[:1], "set limits of club-sud weight 6 if revision 1")
	assert.Equal(t, done.code, exitcode.Failure)
	assert.Assert(t, strings.Contains(done.errors, `as it was at revision 1`), done.errors)
	assert.Assert(t, strings.Contains(done.errors, `"concurrent_requests":50`), done.errors)
}

func TestAnUnreachableDaemonIsNamedAndKeepsWaitFromEnding(t *testing.T) {
	made := imported(t)
	made.daemons[2].peerServer.Close()
	made.daemons[2].adminServer.Close()

	shown := made.control(made.daemons[:1], "show tenants where tenant = club-nord")
	assert.Equal(t, shown.code, exitcode.OK)
	assert.Assert(t, strings.Contains(shown.output, "1 row\n"), shown.output)
	assert.Equal(t, shown.errors, "Partial answer: no answer from d3.\n")
	// The client goes on to a daemon that answers.
	done := made.control([]*testDaemon{made.daemons[2], made.daemons[0]}, "--wait", "--timeout", "1s", "drain backend runner-09")
	assert.Equal(t, done.code, exitcode.Failure)
	assert.Assert(t, strings.Contains(done.output, "in force on 2 of 3 daemons, behind: d3"), done.output)
	assert.Assert(t, strings.Contains(done.errors, "accepted, but not in force everywhere yet"), done.errors)
}

func TestExitCodesTellWhatWasWrong(t *testing.T) {
	made := newCluster(t, 1)
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	assert.NilError(t, os.WriteFile(broken, []byte("tenants:\n  - name: a b\n    colour: red\n"), 0o600))
	for _, trial := range []struct {
		arguments []string
		code      int
		text      string
	}{
		{[]string{"show engins"}, exitcode.Usage, "did you mean engines?"},
		{[]string{"--colour"}, exitcode.Usage, "unknown flag"},
		{[]string{"--address", "http://localhost:80", "show engines"}, exitcode.Usage, "has no IP number"},
		{[]string{"import-configuration", broken}, exitcode.InvalidSettings, ":3:5: tenants[0].colour: unknown key"},
		{[]string{"cancel event none"}, exitcode.Failure, "there is no such entry"},
	} {
		done := made.control(made.daemons, trial.arguments...)
		assert.Equal(t, done.code, trial.code, done.errors)
		assert.Assert(t, strings.Contains(done.errors, trial.text), done.errors)
	}
	assert.Equal(t, made.daemons[0].runner.Revision(), made.daemons[0].runner.Document().Revision)
	assert.Equal(t, int(made.daemons[0].runner.Revision()), 0)

	t.Setenv("LOTUSCTL_TOKEN", operatorToken)
	t.Setenv("LOTUSCTL_ADDRESS", made.daemons[0].adminServer.URL)
	piped := run("help\nshow models\n\nshow engins\nshow daemons\n")
	assert.Equal(t, piped.code, exitcode.Usage)
	assert.Assert(t, strings.Contains(piped.output, "0 rows"), piped.output)
	assert.Equal(t, strings.Count(piped.output, "rows"), 1, piped.output)
	hashed := run("operate-token\n", "hash-key")
	assert.Equal(t, hashed.output, "2de8e6cbdda43d8f8c4f33e79b7296ad4159d03cf42dbdf39c1e48ba6547fc61\n")
	help := run("", "--help")
	assert.Equal(t, help.code, exitcode.OK)
	assert.Assert(t, strings.Contains(help.output, "Exit codes"))
}
