// Command wagtailctl is the operator's command-line tool for wagtailspoke.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/wagtailspoke/wagtailspoke/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Execute(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
