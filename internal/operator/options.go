package operator

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"
)

// Options are the flags of lotusctl. Tags are those of go-flags.
type Options struct {
	Addresses []string      `long:"address" short:"a" value-name:"URL" env:"LOTUSCTL_ADDRESS" env-delim:"," description:"Administration address of a daemon, http://IP:port; several with commas or repeated, each try takes the next"`
	TokenFile string        `long:"token-file" short:"t" value-name:"FILE" env:"LOTUSCTL_TOKEN_FILE" description:"File with the operator's bearer token; without it the token is read from the environment variable LOTUSCTL_TOKEN"`
	Output    string        `long:"output" short:"o" choice:"table" choice:"json" default:"table" description:"How to print answers"`
	Timeout   time.Duration `long:"timeout" value-name:"DURATION" default:"10s" description:"Time for a statement with all its tries"`
	Version   bool          `long:"version" description:"Print the version and exit"`
}

// tokenVariable is the environment variable that holds a token.
const tokenVariable = "LOTUSCTL_TOKEN"

var errNoToken = errors.New("no token: give --token-file, or set " + tokenVariable)

func (o Options) token() (string, error) {
	if o.TokenFile == "" {
		if token := strings.TrimSpace(os.Getenv(tokenVariable)); token != "" {
			return token, nil
		}
		return "", errNoToken
	}
	text, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return "", fmt.Errorf("token file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", fmt.Errorf("token file %s is empty", o.TokenFile)
	}
	return token, nil
}

// addresses splits and checks the addresses.
func (o Options) addresses() ([]string, error) {
	var addresses []string
	for _, given := range strings.Split(strings.Join(o.Addresses, ","), ",") {
		if given = strings.TrimSpace(given); given == "" {
			continue
		}
		parsed, err := url.Parse(given)
		if err != nil || parsed.Scheme != "http" || strings.Trim(parsed.Path, "/") != "" || parsed.RawQuery != "" || parsed.User != nil {
			return nil, fmt.Errorf("address %q is not of the form http://IP:port", given)
		}
		if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
			return nil, fmt.Errorf("address %q has no IP number with a port", given)
		}
		addresses = append(addresses, "http://"+parsed.Host)
	}
	if len(addresses) == 0 {
		return nil, errors.New("no address: give --address http://IP:port, or set LOTUSCTL_ADDRESS")
	}
	return addresses, nil
}
