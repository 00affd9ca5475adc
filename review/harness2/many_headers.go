package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Parameters of the case. The heads stay below header-bytes, 16,384.
const (
	headBytes         = 16_000
	headerConnections = 1000
	// wavePause is the time between the end of a wave and the next one.
	wavePause           = 2 * time.Second
	manyHeadersTime     = 45 * time.Second
	manyHeadersAdapters = 40
)

// runManyHeaders checks that processes stay within the memory of their machines while
// clients that the operators do not control send requests with many short headers.
func runManyHeaders(d *deployment) (bool, error) {
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
	clients := &headerClients{statuses: make(map[string]int)}
	if d.trouble {
		for _, v := range d.vms[:machinesThatEnd] {
			go clients.run(ctx, v)
		}
	}
	broken, err := d.watchMemory(manyHeadersTime)
	cancel()
	d.record.printf("untrusted requests: %v", clients.summary())
	d.record.printf("ordinary requests: %v", ordinary.summary())
	return !broken, err
}

// headerClients send requests that are sound but for their number of headers.
type headerClients struct {
	mu       sync.Mutex
	statuses map[string]int
}

// head returns the head of a request.
func (c *headerClients) head(id string, adapter int) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "POST /brief/x HTTP/1.1\r\nHost: %s\r\nAttempt-Identifier: %s\r\nDeadline-Milliseconds: 15000\r\nAuthorization: Token %s\r\nModel: %s/a%d\r\nToken-Counts: 1,1\r\nContent-Length: 0\r\n", caseHost, id, caseKey, engineModel, adapter)
	for i := 0; b.Len() < headBytes; i++ {
		_, _ = fmt.Fprintf(&b, "%x:\r\n", 0x100+i)
	}
	b.WriteString("\r\n")
	return b.String()
}

// run sends requests in waves: each client opens a connection, and all send their
// requests once that of the last one is open.
func (c *headerClients) run(ctx context.Context, v *vm) {
	for wave := 1; ctx.Err() == nil; wave++ {
		var open, ended sync.WaitGroup
		send := make(chan struct{})
		for i := range headerConnections {
			open.Add(1)
			ended.Go(func() {
				connection, err := net.DialTimeout("tcp", v.front, time.Second)
				open.Done()
				if err != nil {
					return
				}
				defer func() { _ = connection.Close() }()
				<-send
				c.send(connection, fmt.Sprintf("headers-%s-%d-%d", v.name, wave, i), i%manyHeadersAdapters+1)
			})
		}
		open.Wait()
		close(send)
		ended.Wait()
		time.Sleep(wavePause)
	}
}

func (c *headerClients) send(connection net.Conn, id string, adapter int) {
	status := "no answer"
	_ = connection.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := io.WriteString(connection, c.head(id, adapter)); err == nil {
		if response, err := http.ReadResponse(bufio.NewReader(connection), nil); err == nil {
			status = fmt.Sprint(response.StatusCode)
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
}

func (c *headerClients) summary() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]int)
	for status, count := range c.statuses {
		copied[status] = count
	}
	return copied
}
