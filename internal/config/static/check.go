package static

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/yamldecode"
	"github.com/lotusward/lotusward/internal/finding"
	"github.com/lotusward/lotusward/internal/logging"
)

// MinimumKeyBytes is the shortest accepted key between daemons, in bytes.
const MinimumKeyBytes = 32

const (
	sha256Bytes        = 32
	minimumBodyBytes   = 1 << 10
	minimumHeaderBytes = 1 << 10
	minimumInterval    = 10 * time.Millisecond
	maximumInterval    = time.Hour
)

// namePattern is what names of daemons, zones, regions and operators look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker gathers what is wrong with settings, with the place of each.
type checker struct {
	places yamldecode.Places
	// overridden maps the path of a field to the flag that set it.
	overridden map[string]string
	findings   *finding.List
}

// add records a finding. A field set by a flag is placed at the flag.
func (c *checker) add(path, format string, arguments ...any) {
	if flag, found := c.overridden[path]; found {
		c.findings.AddAt(finding.Place{Path: "flag " + flag}, format, arguments...)
		return
	}
	c.findings.AddAt(c.places.At(path), format, arguments...)
}

func (c *checker) check(settings *Settings) {
	c.name("identity.daemon", string(settings.Identity.Daemon))
	c.name("identity.zone", string(settings.Identity.Zone))
	c.name("identity.region", settings.Identity.Region)
	c.listen(settings)
	c.peers(settings)
	c.serviceURL("platform.table", settings.Platform.Table)
	c.serviceURL("platform.objects", settings.Platform.Objects)
	c.serviceURL("platform.machines", settings.Platform.Machines)
	c.operators(settings.Operators)
	c.logging(settings.Logging)
	c.limits(settings.Limits)
	if settings.Isolation != IsolationRefuse && settings.Isolation != IsolationServe {
		c.add("isolation", "expected refuse or serve, found %q", settings.Isolation)
	}
	if settings.CacheEvents != CacheEventsWatchers && settings.CacheEvents != CacheEventsOff {
		c.add("cache_events", "expected watchers or off, found %q", settings.CacheEvents)
	}
	c.tuning(settings.Tuning)
}

func (c *checker) name(path, value string) {
	switch {
	case value == "":
		c.add(path, "missing")
	case !namePattern.MatchString(value):
		c.add(path, "%q is no name: 1 to 63 letters, digits, dots, dashes and underscores, a letter or digit first", value)
	}
}

func (c *checker) listen(settings *Settings) {
	used := map[netip.AddrPort]string{}
	for _, listener := range []struct{ path, address string }{
		{"listen.callers", settings.Listen.Callers},
		{"listen.admin", settings.Listen.Admin},
		{"listen.peer", settings.Listen.Peer},
		{"listen.health", settings.Listen.Health},
	} {
		address, valid := c.address(listener.path, listener.address)
		if !valid || address.Port() == 0 {
			continue // port 0 lets the system choose, so it never collides
		}
		if other, found := used[address]; found {
			c.add(listener.path, "%s is also the address of %s", address, other)
		}
		used[address] = listener.path
	}
}

func (c *checker) peers(settings *Settings) {
	advertised, valid := c.address("peers.advertise", settings.PeerAddress())
	if valid && advertised.Addr().IsUnspecified() {
		c.add("peers.advertise", "%s can't be reached by other daemons; give the machine's own IP number", advertised)
	}
	seen := map[string]int{}
	for index, seed := range settings.Peers.Seeds {
		path := indexed("peers.seeds", index)
		c.reachable(path, seed)
		if first, found := seen[seed]; found {
			c.add(path, "%s is already %s", seed, indexed("peers.seeds", first))
			continue
		}
		seen[seed] = index
	}
	c.keys(settings.Peers.Keys)
}

func (c *checker) keys(keys []Key) {
	if len(keys) == 0 {
		c.add("peers.keys", "missing: at least one key is needed")
	}
	seen := map[Secret]int{}
	for index, key := range keys {
		path := indexed("peers.keys", index)
		if key.Value == "" {
			continue // reported where the key was resolved
		}
		if len(key.Value) < MinimumKeyBytes {
			c.add(path, "the key has %d bytes; at least %d are needed", len(key.Value), MinimumKeyBytes)
		}
		if first, found := seen[key.Value]; found {
			c.add(path, "the key is the same as %s", indexed("peers.keys", first))
			continue
		}
		seen[key.Value] = index
	}
}

// address checks an IP:port address.
func (c *checker) address(path, text string) (netip.AddrPort, bool) {
	if text == "" {
		c.add(path, "missing")
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		c.add(path, "%q is no IP number and port such as 10.0.0.1:8080", text)
		return netip.AddrPort{}, false
	}
	return address, true
}

// reachable checks an address that this daemon connects to.
func (c *checker) reachable(path, text string) {
	address, valid := c.address(path, text)
	if !valid {
		return
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		c.add(path, "%s can't be connected to", address)
	}
}

func (c *checker) serviceURL(path, text string) {
	if text == "" {
		c.add(path, "missing")
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.User != nil || strings.Trim(parsed.Path, "/") != "" ||
		parsed.RawQuery != "" || parsed.Fragment != "" {
		c.add(path, "%q is no URL of the form http://IP:port", text)
		return
	}
	c.reachable(path, parsed.Host)
}

func (c *checker) operators(operators []Operator) {
	names := map[string]int{}
	tokens := map[string]int{}
	for index, operator := range operators {
		path := indexed("operators", index)
		c.name(path+".name", operator.Name)
		if operator.Role != RoleRead && operator.Role != RoleOperate {
			c.add(path+".role", "expected read or operate, found %q", operator.Role)
		}
		if sum, err := hex.DecodeString(operator.TokenSHA256); err != nil || len(sum) != sha256Bytes ||
			strings.ToLower(operator.TokenSHA256) != operator.TokenSHA256 {
			c.add(path+".token_sha256", "expected the SHA-256 sum of the token as 64 lower-case hexadecimal digits; lotusctl hash-key prints it")
			continue
		}
		if first, found := names[operator.Name]; found {
			c.add(path+".name", "%q is already the name of %s", operator.Name, indexed("operators", first))
		}
		if first, found := tokens[operator.TokenSHA256]; found {
			c.add(path+".token_sha256", "the token is the same as that of %s", indexed("operators", first))
		}
		names[operator.Name] = index
		tokens[operator.TokenSHA256] = index
	}
}

func (c *checker) logging(settings Logging) {
	if settings.Format != logging.FormatText && settings.Format != logging.FormatJSON {
		c.add("logging.format", "expected text or json, found %q", settings.Format)
	}
	if _, err := logrus.ParseLevel(settings.Level); err != nil {
		c.add("logging.level", "expected error, warning, info or debug, found %q", settings.Level)
	}
}

func (c *checker) limits(limits Limits) {
	if limits.BodyBytes < minimumBodyBytes {
		c.add("limits.body_bytes", "%d is below the least of %d", limits.BodyBytes, minimumBodyBytes)
	}
	if limits.HeaderBytes < minimumHeaderBytes {
		c.add("limits.header_bytes", "%d is below the least of %d", limits.HeaderBytes, minimumHeaderBytes)
	}
	c.interval("limits.header_read_timeout", limits.HeaderReadTimeout)
	c.interval("limits.body_read_timeout", limits.BodyReadTimeout)
	c.interval("limits.idle_timeout", limits.IdleTimeout)
}

func (c *checker) tuning(tuning Tuning) {
	for _, setting := range tuning.intervals() {
		c.interval("tuning."+setting.key, setting.value)
	}
	if tuning.ProbeTimeout > tuning.ProbeInterval {
		c.add("tuning.probe_timeout", "%s is longer than tuning.probe_interval, %s", tuning.ProbeTimeout, tuning.ProbeInterval)
	}
	if tuning.SuspicionTimeout < tuning.ProbeInterval {
		c.add("tuning.suspicion_timeout", "%s is shorter than tuning.probe_interval, %s", tuning.SuspicionTimeout, tuning.ProbeInterval)
	}
}

func (c *checker) interval(path string, value time.Duration) {
	if value < minimumInterval || value > maximumInterval {
		c.add(path, "%s is not between %s and %s", value, minimumInterval, maximumInterval)
	}
}

func indexed(path string, index int) string {
	return fmt.Sprintf("%s[%d]", path, index)
}

// unwrapPath drops the file name from a file error; the finding names it already.
func unwrapPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

// sorted orders findings by their place in the file.
func sorted(report *finding.Error) *finding.Error {
	slices.SortStableFunc(report.Findings, func(a, b finding.Finding) int {
		return cmp.Or(cmp.Compare(a.Place.Line, b.Place.Line), cmp.Compare(a.Place.Column, b.Place.Column))
	})
	return report
}
