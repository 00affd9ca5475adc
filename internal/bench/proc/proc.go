// Package proc reads what the operating system knows of the processes of an
// experiment.
package proc

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the unit of CPU times in /proc on Linux.
const clockTicks = 100

// ResidentBytes returns the memory that a process holds now, or zero if the
// process is gone.
func ResidentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
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

// CPU returns the CPU time that a process has used, or zero if it is gone.
func CPU(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The command name in brackets may hold spaces; the fields after it start
	// with the third.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks
}

// FreeAddresses returns addresses of a loopback IP number whose ports are free
// and differ from each other.
func FreeAddresses(host netip.Addr, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, err
		}
		// All ports stay taken until the last one is found.
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// The second byte of loopback addresses that Host gives out.
const (
	firstNetwork = 16
	networks     = 200
)

// Host returns a loopback IP number for a host of an experiment. Experiments
// that run at the same time get different ones, because a port that was found
// free on a shared IP number may be taken before it is used.
func Host(group, number int) netip.Addr {
	network := firstNetwork + os.Getpid()%networks
	return netip.AddrFrom4([4]byte{127, byte(network), byte(group), byte(number)})
}
