package link

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Command runs links without faults as a process of its own, for go-flags. It is
// the least that a hop between two processes can be.
type Command struct {
	Pairs []string `long:"pair" value-name:"IP:PORT=IP:PORT" required:"true" description:"Address to listen on and address to forward to; may be given several times"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, pair := range c.Pairs {
		address, target, found := strings.Cut(pair, "=")
		if !found {
			return fmt.Errorf("%q is no IP:PORT=IP:PORT", pair)
		}
		opened, err := StartAt(address, target)
		if err != nil {
			return err
		}
		defer opened.Close()
	}
	<-ctx.Done()
	return nil
}
