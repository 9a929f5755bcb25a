package operator

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/exitcode"
)

const (
	// generatedKeyBytes is how much randomness a generated key has.
	generatedKeyBytes = 32
	// maximumKeyBytes bounds a key that is read.
	maximumKeyBytes = 4 << 10
)

// importConfiguration checks a configuration file and replaces the
// configuration by it.
func (p *program) importConfiguration(ctx context.Context) int {
	file := p.options.Import.Arguments.File
	text, err := os.ReadFile(file)
	if err != nil {
		return p.fail(err, exitcode.InvalidSettings)
	}
	document, err := dynamic.ParseDocument(file, text)
	if err != nil {
		return p.fail(fmt.Errorf("%s is not valid; nothing was changed:\n%w", file, err), exitcode.InvalidSettings)
	}
	if p.options.Import.CheckOnly {
		fmt.Fprintf(p.console.Output, "%s: configuration is valid\n", file)
		return exitcode.OK
	}
	if err := p.connect(); err != nil {
		return p.fail(err, exitcode.Usage)
	}
	statementContext, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	response, err := p.client.Import(statementContext, document, p.importBase())
	if err != nil {
		return p.fail(err, exitcode.Failure)
	}
	return p.finish(ctx, response)
}

func (p *program) importBase() *identity.Revision {
	if p.options.Import.Base == nil {
		return nil
	}
	base := identity.Revision(*p.options.Import.Base)
	return &base
}

// hashKey prints the stored form of a key.
func (p *program) hashKey() int {
	if p.options.HashKey.Generate {
		random := make([]byte, generatedKeyBytes)
		rand.Read(random) // never fails
		key := base64.RawURLEncoding.EncodeToString(random)
		fmt.Fprintf(p.console.Output, "key:    %s\nsha256: %s\n", key, view.HashKey(key))
		return exitcode.OK
	}
	text, err := io.ReadAll(io.LimitReader(p.console.Input, maximumKeyBytes))
	if err != nil {
		return p.fail(err, exitcode.Failure)
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		return p.fail(fmt.Errorf("no key on standard input"), exitcode.Usage)
	}
	fmt.Fprintln(p.console.Output, view.HashKey(key))
	return exitcode.OK
}
