package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/exitcode"
	"github.com/lotusward/lotusward/internal/version"
)

// programName is what the program calls itself.
const programName = "lotusctl"

const usage = "[OPTIONS] ['STATEMENT']"

const description = `Asks a deployment of lotusward through the administration interface of any of its daemons.

With a statement, lotusctl runs it and exits. Without one it reads statements, with history, help and completion on a terminal.

  lotusctl -a http://10.0.0.1:8081,http://10.0.0.2:8081 -t token 'show backends where doubted = true'
  lotusctl ... 'show models where behind > 0'

Exit codes: 0 done, 1 refused or failed, 2 wrong command line or statement.`

// Console is what a program reads and writes.
type Console struct {
	Input  io.Reader
	Output io.Writer
	Errors io.Writer
	// Terminal is set when a person types the input.
	Terminal bool
}

// program is one run of lotusctl.
type program struct {
	options Options
	console Console
	client  *Client
	printer printer
}

// Run runs lotusctl with its arguments and returns the exit code.
func Run(ctx context.Context, arguments []string, console Console) int {
	running := &program{console: console}
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &running.options); err != nil {
		return running.fail(err, exitcode.Failure) // a programming error in the tags
	}
	parser.Usage = usage
	parser.LongDescription = description
	words, err := parser.ParseArgs(arguments)
	var flagError *flags.Error
	switch {
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Fprintln(console.Output, err)
		return exitcode.OK
	case err != nil:
		return running.fail(err, exitcode.Usage)
	case running.options.Version:
		fmt.Fprintln(console.Output, programName, version.String())
		return exitcode.OK
	}
	return running.dispatch(ctx, words)
}

func (p *program) dispatch(ctx context.Context, words []string) int {
	p.printer = printer{format: Format(p.options.Output), output: p.console.Output}
	if err := p.connect(); err != nil {
		return p.fail(err, exitcode.Usage)
	}
	if len(words) == 0 {
		return p.session(ctx)
	}
	return p.execute(ctx, strings.Join(words, " "))
}

// connect makes the client from the options.
func (p *program) connect() error {
	addresses, err := p.options.addresses()
	if err != nil {
		return err
	}
	token, err := p.options.token()
	if err != nil {
		return err
	}
	p.client = &Client{Addresses: addresses, Token: token, HTTP: &http.Client{}}
	return nil
}

// execute runs one statement, prints its answer and returns the exit code.
func (p *program) execute(ctx context.Context, statement string) int {
	statementContext, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	answer, err := p.client.Execute(statementContext, statement)
	if err != nil {
		return p.fail(err, exitCodeOf(err))
	}
	p.printer.answer(answer)
	return exitcode.OK
}

// exitCodeOf gives the exit code for a failed statement.
func exitCodeOf(err error) int {
	var invalid *query.ParseError
	if errors.As(err, &invalid) {
		return exitcode.Usage
	}
	return exitcode.Failure
}

func (p *program) fail(err error, code int) int {
	fmt.Fprintf(p.console.Errors, "%s: %v\n", programName, err)
	return code
}
