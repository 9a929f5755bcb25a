// Command lotusctl is the operators' client of lotusward.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chzyer/readline"

	"github.com/lotusward/lotusward/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], operator.Console{
		Input:    os.Stdin,
		Output:   os.Stdout,
		Errors:   os.Stderr,
		Terminal: readline.DefaultIsTerminal(),
	})
	stop()
	os.Exit(code)
}
