package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/internal/exitcode"
	"github.com/lotusward/lotusward/internal/operator"
)

// asked is what lotusctl printed, and its exit code.
type asked struct {
	code           int
	output, errors string
}

func control(input string, arguments ...string) asked {
	var output, failures bytes.Buffer
	code := operator.Run(context.Background(), arguments, operator.Console{Input: strings.NewReader(input), Output: &output, Errors: &failures})
	return asked{code: code, output: output.String(), errors: failures.String()}
}

// TestOperatorsSeeWhatADaemonBelieves asks a running daemon, of two addresses of which one is
// dead, what leaves and what is behind.
func TestOperatorsSeeWhatADaemonBelieves(t *testing.T) {
	deployed := newDeployment(t)
	deployed.engine("e1", 3, time.Millisecond)
	leaving := deployed.page("p1")
	deployed.page("p2")
	deployed.configure(testKey)
	deployed.name(1)
	daemon := deployed.daemon("d1", true)
	leaving.Drain()
	addresses := []string{"-a", "http://127.0.0.1:1", "-a", "http://" + daemon.admin}
	show := func(statement string, more ...string) asked {
		t.Helper()
		// The other tests of this package run beside this one, so that the environment is left alone.
		return control("", append(append(more, addresses...), "-t", tokenFile(t, testToken), statement)...)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := show("show leaving backends"); strings.Contains(got.output, "p1") && strings.Contains(got.output, "1 row") {
			return poll.Success()
		}
		return poll.Continue("nothing leaves")
	}, poll.WithTimeout(5*time.Second))
	models := show("show models where behind = 0", "-o", "json")
	assert.Equal(t, models.code, exitcode.OK, models.errors)
	assert.Assert(t, strings.Contains(models.output, `"m"`), models.output)
	assert.Assert(t, strings.Contains(show("show routes where kind = safe").output, "1 row"))
	assert.Assert(t, strings.Contains(show("show services order by backends desc limit 1").output, "pages"))
	tenants := show("show tenants").output
	assert.Assert(t, strings.Contains(tenants, "open") && !strings.Contains(tenants, testKey), tenants)
	assert.Assert(t, strings.Contains(show("show daemons").output, "true"))
}

// TestLotusctlTellsWhatWasWrong checks exit codes and messages.
func TestLotusctlTellsWhatWasWrong(t *testing.T) {
	deployed := newDeployment(t)
	deployed.page("p1")
	deployed.configure(testKey)
	daemon := deployed.daemon("d1", true)
	address, right := "http://"+daemon.admin, tokenFile(t, testToken)
	for _, trial := range []struct {
		arguments []string
		code      int
		text      string
	}{
		{[]string{"-a", address, "-t", right, "show bakends"}, exitcode.Usage, "did you mean backends?"},
		{[]string{"--colour"}, exitcode.Usage, "unknown flag"},
		{[]string{"-a", "http://localhost:80", "-t", right, "show backends"}, exitcode.Usage, "has no IP number"},
		{[]string{"-a", address, "-t", tokenFile(t, "guess"), "show backends"}, exitcode.Failure, "the token is missing or unknown"},
		{[]string{"-a", address, "-t", tokenFile(t, ""), "show backends"}, exitcode.Usage, "is empty"},
		{[]string{"-a", "http://127.0.0.1:1", "-t", right, "--timeout", "300ms", "show backends"}, exitcode.Failure, "no daemon could answer in time"},
	} {
		got := control("", trial.arguments...)
		assert.Equal(t, got.code, trial.code, "%v: %s", trial.arguments, got.errors)
		assert.Assert(t, strings.Contains(got.errors, trial.text), "%v: %s", trial.arguments, got.errors)
	}
	piped := control("help\nshow daemons\n\nshow bakends\nshow tenants\n", "-a", address, "-t", right)
	assert.Equal(t, piped.code, exitcode.Usage)
	assert.Equal(t, strings.Count(piped.output, "1 row"), 1, piped.output)
	help := control("", "--help")
	assert.Equal(t, help.code, exitcode.OK)
	assert.Assert(t, strings.Contains(help.output, "Exit codes"))
}

func tokenFile(t *testing.T, token string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(path, []byte(token+"\n"), 0o600))
	return path
}
