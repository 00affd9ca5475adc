package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case. memoryLimitMB is memory-mb of the machines. The heads of the
// untrusted clients stay below header-bytes, 16,384.
const (
	memoryLimitMB      = 284
	longNameBytes      = 15_500
	untrustedPerSecond = 300
	longNamesTime      = 60 * time.Second
	restartDelay       = time.Second
	// Fault: processes of a tenth of the machines, two at least, end three times.
	endsOfAMachine  = 3
	machinesThatEnd = 2
)

// runLongNames checks that processes stay within the memory of their machines while
// clients that the operators do not control send requests with long names of models.
func runLongNames(d *deployment) (bool, error) {
	d.publishEngineConfig()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, zone := range zones {
		if _, err := d.startEngine(fmt.Sprintf("engine-%d", i), zone); err != nil {
			return false, err
		}
	}
	if err := d.startVMs(zones...); err != nil {
		return false, err
	}
	ordinary := newTraffic(d)
	for _, v := range d.vms {
		go ordinary.run(ctx, v)
	}
	time.Sleep(5 * time.Second)
	d.record.printf("ordinary requests in calm: %v", ordinary.summary())
	untrusted := &untrustedClients{d: d, statuses: make(map[string]int)}
	if d.trouble {
		go untrusted.run(ctx, d.vms[0])
		go untrusted.run(ctx, d.vms[1])
	}
	broken, err := d.watchMemory(longNamesTime)
	cancel()
	d.record.printf("untrusted requests: %v", untrusted.summary())
	d.record.printf("ordinary requests: %v", ordinary.summary())
	return !broken, err
}

// watchMemory ends processes that hold more memory than their machines have, as the
// platform does, and starts them again. It reports whether processes of machinesThatEnd
// machines ended endsOfAMachine times.
func (d *deployment) watchMemory(limit time.Duration) (bool, error) {
	ends := make([]int, len(d.vms))
	peaks := make([]int, len(d.vms))
	broken := false
	for end := time.Now().Add(limit); time.Now().Before(end) && !broken; time.Sleep(20 * time.Millisecond) {
		ended := 0
		for i, v := range d.vms {
			resident, err := residentMB(v.process.command.Process.Pid)
			if err != nil {
				continue
			}
			peaks[i] = max(peaks[i], resident)
			if resident > memoryLimitMB {
				ends[i]++
				d.record.printf("%s holds %d MB of %d: it is killed, for the %d. time", v.name, resident, memoryLimitMB, ends[i])
				v.process.kill()
				time.Sleep(restartDelay)
				if err := d.startVM(v, false); err != nil {
					return false, err
				}
			}
		}
		for _, count := range ends {
			if count >= endsOfAMachine {
				ended++
			}
		}
		broken = ended >= machinesThatEnd
	}
	d.record.printf("largest memory in MB by machine: %v; ends by machine: %v", peaks, ends)
	return broken, nil
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("process %d has no resident memory", pid)
}

// untrustedClients send requests with a valid key for models that do not exist.
type untrustedClients struct {
	d        *deployment
	mu       sync.Mutex
	statuses map[string]int
	next     atomic.Int64
}

func (u *untrustedClients) run(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		go u.send(v, u.next.Add(1))
		time.Sleep(time.Second / untrustedPerSecond)
	}
}

func (u *untrustedClients) send(v *vm, number int64) {
	status := "no answer"
	if connection, err := net.DialTimeout("tcp", v.front, time.Second); err == nil {
		defer func() { _ = connection.Close() }()
		_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
		name := fmt.Sprintf("%s/b%d%s", engineModel, number, strings.Repeat("<", longNameBytes))
		_, _ = fmt.Fprintf(connection, "POST /brief/x HTTP/1.1\r\nHost: %s\r\nAttempt-Identifier: untrusted-%d\r\nDeadline-Milliseconds: 4000\r\nAuthorization: Token %s\r\nModel: %s\r\nToken-Counts: 1,1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", caseHost, number, caseKey, name)
		if response, err := http.ReadResponse(bufio.NewReader(connection), nil); err == nil {
			status = fmt.Sprint(response.StatusCode)
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.statuses[status]++
}

func (u *untrustedClients) summary() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	copied := make(map[string]int)
	for status, count := range u.statuses {
		copied[status] = count
	}
	return copied
}
