package path

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// stopWait is how long a child may take to end after SIGTERM.
const stopWait = 10 * time.Second

// clockTicks is the unit of CPU times in /proc on Linux.
const clockTicks = 100

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
func (c *child) residentBytes() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// cpu returns the CPU time that the process has used.
func (c *child) cpu() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	// User and system time are fields 14 and 15 of the whole line.
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
