package operator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/chzyer/readline"

	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/exitcode"
)

const prompt = programName + "> "

const sessionHelp = `Queries:   show SOURCE [where FIELD OP VALUE [and ...]] [order by FIELD [asc|desc]] [limit N]
           sources: backends, leaving backends, daemons, models, quarantines, rollouts, routes, services, tenants
Also:      help, help grammar, exit. The tab key completes words; the arrow keys recall earlier lines.
`

// lineReader gives one line after the other, and io.EOF at the end.
type lineReader interface {
	Readline() (string, error)
}

// scannedLines reads lines that no person types.
type scannedLines struct{ *bufio.Scanner }

// Readline implements lineReader.
func (s scannedLines) Readline() (string, error) {
	if s.Scan() {
		return s.Text(), nil
	}
	if err := s.Err(); err != nil {
		return "", err
	}
	return "", io.EOF
}

// session runs statements line by line. On a terminal a failed statement does
// not end it; otherwise the first failure does, and its code is the program's.
func (p *program) session(ctx context.Context) int {
	if !p.console.Terminal {
		scanner := bufio.NewScanner(p.console.Input)
		scanner.Buffer(nil, 2*query.MaximumBytes)
		return p.loop(ctx, scannedLines{scanner})
	}
	// Without a history file the history stays in memory.
	terminal, err := readline.NewEx(&readline.Config{Prompt: prompt, AutoComplete: completer{}})
	if err != nil {
		return p.fail(err, exitcode.Failure)
	}
	defer terminal.Close()
	fmt.Fprintf(p.console.Output, "Connected to %s. Type help for help.\n", strings.Join(p.client.Addresses, ", "))
	return p.loop(ctx, terminal)
}

func (p *program) loop(ctx context.Context, lines lineReader) int {
	for ctx.Err() == nil {
		line, err := lines.Readline()
		switch {
		case errors.Is(err, readline.ErrInterrupt):
			continue // Ctrl-C clears the line
		case errors.Is(err, io.EOF):
			return exitcode.OK
		case err != nil:
			return p.fail(err, exitcode.Failure)
		}
		line = strings.TrimSpace(line)
		if line == "exit" || line == "quit" {
			return exitcode.OK
		}
		if code := p.line(ctx, line); code != exitcode.OK && !p.console.Terminal {
			return code
		}
	}
	return exitcode.Failure
}

func (p *program) line(ctx context.Context, line string) int {
	switch strings.ToLower(line) {
	case "":
		return exitcode.OK
	case "help":
		fmt.Fprint(p.console.Output, sessionHelp)
		return exitcode.OK
	case "help grammar":
		fmt.Fprintln(p.console.Output, query.Grammar())
		return exitcode.OK
	default:
		return p.execute(ctx, line)
	}
}

// completer completes keywords and fields.
type completer struct{}

// Do implements readline.AutoCompleter.
func (completer) Do(line []rune, position int) ([][]rune, int) {
	text := string(line[:position])
	typed := len([]rune(text[strings.LastIndexAny(text, " \t,")+1:]))
	var endings [][]rune
	for _, word := range query.Complete(text) {
		endings = append(endings, append([]rune(word)[typed:], ' '))
	}
	return endings, typed
}
