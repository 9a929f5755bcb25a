package static

import (
	"os"
	"strings"

	"github.com/lotusward/lotusward/internal/config/yamldecode"
	"github.com/lotusward/lotusward/internal/finding"
)

// Load reads the settings from the text of a settings file; path is only named
// in findings. It fails with a *finding.Error that holds all findings.
func Load(path string, text []byte) (*Settings, error) {
	return LoadWithOverrides(path, text, Overrides{})
}

// LoadWithOverrides is Load with flags that go before the file.
func LoadWithOverrides(path string, text []byte, overrides Overrides) (*Settings, error) {
	settings := Default()
	places, findings := yamldecode.Decode(path, text, settings)
	overridden := overrides.apply(settings)
	checker := &checker{places: places, overridden: overridden, findings: findings}
	checker.resolveKeys(settings)
	checker.check(settings)
	if err := findings.Err(); err != nil {
		return nil, sorted(err.(*finding.Error))
	}
	return settings, nil
}

// LoadFile is LoadWithOverrides of a file. An empty path means that there is no
// file and all settings come from flags. A file that can't be read is a finding.
func LoadFile(path string, overrides Overrides) (*Settings, error) {
	if path == "" {
		return LoadWithOverrides("", nil, overrides)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		findings := finding.List{}
		findings.AddAt(finding.Place{File: path}, "can't be read: %v", unwrapPath(err))
		return nil, findings.Err()
	}
	return LoadWithOverrides(path, text, overrides)
}

// resolveKeys fills the keys' values from files and environment variables.
func (c *checker) resolveKeys(settings *Settings) {
	for index := range settings.Peers.Keys {
		key := &settings.Peers.Keys[index]
		path := indexed("peers.keys", index)
		switch {
		case countSet(string(key.Value), key.File, key.Environment) > 1:
			c.add(path, "exactly one of value, file and environment must be set")
			key.Value = ""
		case key.File != "":
			c.resolveKeyFile(path+".file", key)
		case key.Environment != "":
			c.resolveKeyEnvironment(path+".environment", key)
		case key.Value == "":
			c.add(path, "one of value, file and environment must be set")
		}
	}
}

func (c *checker) resolveKeyFile(path string, key *Key) {
	text, err := os.ReadFile(key.File)
	if err != nil {
		c.add(path, "the key file %q can't be read: %v", key.File, unwrapPath(err))
		return
	}
	key.Value = Secret(strings.TrimSpace(string(text)))
	if key.Value == "" {
		c.add(path, "the key file %q is empty", key.File)
	}
}

func (c *checker) resolveKeyEnvironment(path string, key *Key) {
	key.Value = Secret(strings.TrimSpace(os.Getenv(key.Environment)))
	if key.Value == "" {
		c.add(path, "the environment variable %s is empty or not set", key.Environment)
	}
}

func countSet(texts ...string) int {
	count := 0
	for _, text := range texts {
		if text != "" {
			count++
		}
	}
	return count
}
