package static_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/exitcode"
	"github.com/lotusward/lotusward/internal/finding"
)

const (
	settingsPage = "../../../docs/operations/settings.md"
	testKey      = "0123456789abcdef0123456789abcdef"
)

// The example must load, and apart from what has no default it must say just
// what the defaults are. The operators' page must show the very same file.
func TestExampleLoadsAndShowsTheDefaults(t *testing.T) {
	t.Setenv("LOTUSWARD_PEER_KEY", testKey)
	settings, err := static.Load("example.yaml", static.Example)
	assert.NilError(t, err)
	assert.Equal(t, string(settings.PeerKeys()[0]), testKey)

	defaults := static.Default()
	assert.DeepEqual(t, settings.Listen, defaults.Listen)
	assert.DeepEqual(t, settings.Logging, defaults.Logging)
	assert.DeepEqual(t, settings.Limits, defaults.Limits)
	assert.DeepEqual(t, settings.Tuning, defaults.Tuning)
	assert.Equal(t, settings.Isolation, defaults.Isolation)
	assert.Equal(t, settings.PeerAddress(), defaults.PeerAddress())

	page, err := os.ReadFile(settingsPage)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(page, static.Example), "settings.md does not show example.yaml as it is")
	rows := regexp.MustCompile("(?m)^\\| `(?:[a-z_]+\\.)?([a-z_]+)` \\| `([^`]+)` \\|").FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(rows) > 20)
	for _, row := range rows {
		shown := regexp.MustCompile(`(?m)^ *` + row[1] + `: .*` + regexp.QuoteMeta(row[2]) + `( |$)`)
		assert.Assert(t, shown.Match(static.Example), "the table of settings.md gives %s the default %s, the example another", row[1], row[2])
	}
}

const faulty = `identity:
  daemon: "bad name"
  zone: a
  colour: red
listen:
  callers: localhost:80
  admin: 127.0.0.1:8082
peers:
  advertise: 0.0.0.0:1
  seeds: [10.0.0.1:1, 10.0.0.1:1, host:2]
  keys:
    - value: topsecret
    - environment: LOTUSWARD_TEST_NOT_SET
    - value: a
      file: b
platform:
  table: https://127.0.0.1:1
  objects: http://127.0.0.1
operators:
  - {name: o, role: admin, token_sha256: abc}
logging: {format: xml, level: 3}
limits:
  body_bytes: many
  body_bytes: 1
isolation: [serve]
tuning:
  probe_interval: 5
  probe_timeout: 2x
  lease_duration: 1ms
`

func TestAllFindingsAreReportedTogetherWithTheirPlace(t *testing.T) {
	_, err := static.Load("d.yaml", []byte(faulty))
	var report *finding.Error
	assert.Assert(t, errors.As(err, &report))
	want := []string{
		"d.yaml:1:1: identity.region: missing",
		`d.yaml:2:3: identity.daemon: "bad name" is no name`,
		"d.yaml:4:3: identity.colour: unknown key; known here: daemon, zone, region",
		`d.yaml:6:3: listen.callers: "localhost:80" is no IP number and port`,
		"d.yaml:5:1: listen.peer: 127.0.0.1:8082 is also the address of listen.admin",
		"d.yaml:9:3: peers.advertise: 0.0.0.0:1 can't be reached",
		"d.yaml:10:23: peers.seeds[1]: 10.0.0.1:1 is already peers.seeds[0]",
		`d.yaml:10:35: peers.seeds[2]: "host:2" is no IP number and port`,
		"d.yaml:12:12: peers.keys[0]: the key has 9 bytes; at least 32 are needed",
		"d.yaml:13:7: peers.keys[1].environment: the environment variable LOTUSWARD_TEST_NOT_SET is empty or not set",
		"d.yaml:14:12: peers.keys[2]: exactly one of value, file and environment must be set",
		`d.yaml:17:3: platform.table: "https://127.0.0.1:1" is no URL of the form http://IP:port`,
		`d.yaml:18:3: platform.objects: "127.0.0.1" is no IP number and port`,
		"d.yaml:16:1: platform.machines: missing",
		`d.yaml:20:15: operators[0].role: expected read or operate, found "admin"`,
		"d.yaml:20:28: operators[0].token_sha256: expected the SHA-256 sum",
		`d.yaml:21:11: logging.format: expected text or json, found "xml"`,
		"d.yaml:21:31: logging.level: expected a text (put it in quotes), found a number",
		"d.yaml:23:15: limits.body_bytes: expected a whole number, found a text",
		"d.yaml:24:3: limits.body_bytes: the key stands twice",
		"d.yaml:25:12: isolation: expected a text (put it in quotes), found a list",
		"d.yaml:27:19: tuning.probe_interval: expected a duration with its unit, such as 250ms or 10s, found a number",
		`d.yaml:28:18: tuning.probe_timeout: expected a duration with its unit, such as 250ms or 10s, found "2x"`,
		"d.yaml:29:3: tuning.lease_duration: 1ms is not between 10ms and 1h0m0s",
	}
	for _, line := range want {
		assert.Assert(t, strings.Contains(err.Error(), line), "missing %q in:\n%s", line, err)
	}
	assert.Equal(t, len(report.Findings), len(want), "%s", err)
	assert.Assert(t, !strings.Contains(err.Error(), "topsecret"))
}

func TestFlagsGoBeforeTheFile(t *testing.T) {
	directory := t.TempDir()
	keyFile := filepath.Join(directory, "key")
	assert.NilError(t, os.WriteFile(keyFile, []byte(testKey+"\n"), 0o600))
	overrides := static.Overrides{
		Daemon: "other", ListenCallers: "127.0.0.1:1", Seeds: []string{"127.0.0.1:7"}, PeerKeyFiles: []string{keyFile},
	}
	settings, err := static.LoadWithOverrides("example.yaml", static.Example, overrides)
	assert.NilError(t, err)
	assert.Equal(t, settings.Identity.Daemon, identity.DaemonID("other"))
	assert.Equal(t, settings.Listen.Callers, "127.0.0.1:1")
	assert.DeepEqual(t, settings.Peers.Seeds, overrides.Seeds)
	assert.Equal(t, string(settings.PeerKeys()[0]), testKey)
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%v %+v %#v", settings, settings, settings), testKey))

	overrides.ListenCallers = "nowhere"
	_, err = static.LoadWithOverrides("example.yaml", static.Example, overrides)
	assert.ErrorContains(t, err, `flag --listen-callers: "nowhere" is no IP number and port`)
}

func TestCheckFileGivesTheExitCode(t *testing.T) {
	var output bytes.Buffer
	assert.Equal(t, static.CheckFile(&output, filepath.Join(t.TempDir(), "none.yaml"), static.Overrides{}), exitcode.InvalidSettings)
	assert.Assert(t, strings.Contains(output.String(), "no such file"))
	t.Setenv("LOTUSWARD_PEER_KEY", testKey)
	assert.Equal(t, static.CheckFile(&output, "example.yaml", static.Overrides{}), exitcode.OK)
}

// Whatever a settings file holds, loading it ends in settings or in findings
// whose places lie inside the text.
func TestAnyTextGivesSettingsOrPlacedFindings(t *testing.T) {
	t.Setenv("LOTUSWARD_PEER_KEY", testKey)
	rapid.Check(t, func(t *rapid.T) {
		text := bytes.Clone(static.Example)
		for range rapid.IntRange(1, 4).Draw(t, "edits") {
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			cut := rapid.IntRange(0, min(20, len(text)-at)).Draw(t, "cut")
			insert := rapid.SampledFrom([]string{"", ":", "- ", "\n", "  ", "{", "]", "&a ", "*a", "!!int ", "\t", "'", "|", "9", "~", "\x00"}).Draw(t, "insert")
			text = append(append(bytes.Clone(text[:at]), insert...), text[at+cut:]...)
		}
		settings, err := static.Load("f", text)
		if err == nil {
			assert.Assert(t, settings != nil)
			return
		}
		var report *finding.Error
		assert.Assert(t, errors.As(err, &report))
		assert.Assert(t, len(report.Findings) > 0)
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, found := range report.Findings {
			assert.Assert(t, found.Place.Line >= 0 && found.Place.Line <= lines, "%s", found)
		}
	})
}
