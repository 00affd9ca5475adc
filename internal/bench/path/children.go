package path

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/proc"
)

// stopWait is how long a child may take to end after SIGTERM.
const stopWait = 10 * time.Second

// child is one process of this repository's own binaries.
type child struct {
	name    string
	command *exec.Cmd
	out     *bufio.Reader
}

// startChild starts a program of the binary directory. Its log goes to log.
func startChild(ctx context.Context, binDir, name string, log io.Writer, arguments ...string) (*child, error) {
	command := exec.CommandContext(ctx, filepath.Join(binDir, name), arguments...)
	command.Stderr = log
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	command.WaitDelay = stopWait
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	c := &child{name: name, command: command, out: bufio.NewReader(out)}
	return c, nil
}

// address reads the address that a stand-in prints when it listens.
func (c *child) address() (string, error) {
	line, err := c.out.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("read the address of %s: %w", c.name, err)
	}
	return strings.TrimSpace(line), nil
}

// stop ends the child and waits for it.
func (c *child) stop() {
	_ = c.command.Process.Signal(syscall.SIGTERM)
	_ = c.command.Wait()
}

// residentBytes returns the memory that the process holds now.
func (c *child) residentBytes() int64 { return proc.ResidentBytes(c.command.Process.Pid) }

// cpu returns the CPU time that the process has used.
func (c *child) cpu() time.Duration { return proc.CPU(c.command.Process.Pid) }
