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

// Parameters of the case. The crowd's bodies stay far below body-bytes, and a client that
// sends one pauses for less than a second.
const (
	crowdClients    = 3000
	crowdPieceBytes = 1200
	crowdPiecePause = 800 * time.Millisecond
	crowdBodyBytes  = 200_000
	crowdReturn     = 100 * time.Millisecond
	// crowdAddress is the address of the crowd. Ordinary clients have another one and
	// another tenant.
	crowdAddress     = "127.70.0.1"
	ordinaryClients  = 10
	ordinaryInterval = 250 * time.Millisecond
	// tryingClients is the number of clients of the rule.
	tryingClients = 7
	crowdTime     = 30 * time.Second
)

// attempt is one try of an ordinary client.
type attempt struct {
	client int
	at     time.Time
	// taken is set if the machine answered, whatever the status.
	taken bool
}

// runCrowd checks RECOVER: a machine that says it is ready must not take no new connection
// for stable-window-ms while seven clients or more try. With trouble, clients that the
// operators do not control send bodies slowly.
func runCrowd(d *deployment) (bool, error) {
	d.publishConfig(1, []any{route("seat-confirm", "/confirm/", "unsafe", "booking-app", 15000, 1), route("seat-check", "/check/", "safe", "booking-app", 1500, 1)}, []any{map[string]any{"name": "booking-app", "connection-limit": 96}}, []string{caseKey})
	for i, zone := range zones {
		ip := fmt.Sprintf("127.60.0.%d", 10+i)
		ports, err := freePorts(ip, 1)
		if err != nil {
			return false, err
		}
		if _, err := d.startWorker(workerConfig{ID: fmt.Sprintf("w-%d", i), Service: "booking-app", Zone: zone, Address: fmt.Sprintf("%s:%d", ip, ports[0])}); err != nil {
			return false, err
		}
	}
	if err := d.startVMs(zones[0]); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	v := d.vms[0]
	var mu sync.Mutex
	var attempts []attempt
	for client := range ordinaryClients {
		go func() {
			for number := 0; ctx.Err() == nil; number++ {
				at := time.Now()
				taken := check(v, fmt.Sprintf("check-%d-%d", client, number))
				mu.Lock()
				attempts = append(attempts, attempt{client, at, taken})
				mu.Unlock()
				time.Sleep(ordinaryInterval)
			}
		}()
	}
	time.Sleep(stableWindow)
	if d.trouble {
		d.record.printf("the crowd comes")
		for number := range crowdClients {
			go crowdClient(ctx, v, number)
		}
	}
	notReady := 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if !v.isReady() {
			notReady++
			d.record.printf("%s is not ready", v.name)
		}
	}
	cancel()
	mu.Lock()
	defer mu.Unlock()
	taken := 0
	for _, a := range attempts {
		if a.taken {
			taken++
		}
	}
	began, longest := longestRefusal(attempts)
	if longest > 0 {
		d.record.printf("longest time without an answer while %d clients tried: %.1f s, from %.1f s on", tryingClients, longest.Seconds(), began.Sub(d.record.began).Seconds())
	}
	d.record.printf("%d of %d tries of ordinary clients were answered; not ready at %d looks", taken, len(attempts), notReady)
	if taken == 0 {
		return false, fmt.Errorf("no try was answered")
	}
	return longest < stableWindow || notReady > 0, nil
}

// longestRefusal returns the longest time between the first and the last of consecutive
// tries that were not answered, of tryingClients clients at least.
func longestRefusal(attempts []attempt) (time.Time, time.Duration) {
	var first, longestFirst time.Time
	var longest time.Duration
	clients := make(map[int]bool)
	for _, a := range attempts {
		if a.taken {
			first = time.Time{}
			clear(clients)
			continue
		}
		if first.IsZero() {
			first = a.at
		}
		clients[a.client] = true
		if length := a.at.Sub(first); len(clients) >= tryingClients && length > longest {
			longestFirst, longest = first, length
		}
	}
	return longestFirst, longest
}

func (v *vm) isReady() bool {
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + v.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// check sends a short request on a new connection and reports whether it was answered.
func check(v *vm, id string) bool {
	connection, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := fmt.Fprintf(connection, "GET /check/x HTTP/1.1\r\nHost: %s\r\nAttempt-Identifier: %s\r\nDeadline-Milliseconds: 1500\r\nAuthorization: Token %s\r\nConnection: close\r\n\r\n", caseHost, id, caseKey); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// crowdClient sends a body in pieces, and comes back when its connection was closed.
func crowdClient(ctx context.Context, v *vm, number int) {
	piece := strings.Repeat("x", crowdPieceBytes)
	dialer := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdAddress)}}
	for round := 0; ctx.Err() == nil; round++ {
		connection, err := dialer.DialContext(ctx, "tcp", v.front)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
			_, err = fmt.Fprintf(connection, "POST /confirm/x HTTP/1.1\r\nHost: %s\r\nAttempt-Identifier: crowd-%d-%d\r\nDeadline-Milliseconds: 15000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", caseHost, number, round, untrustedKey, crowdBodyBytes)
			for sent := 0; err == nil && sent < crowdBodyBytes; sent += crowdPieceBytes {
				_, err = io.WriteString(connection, piece[:min(len(piece), crowdBodyBytes-sent)])
				time.Sleep(crowdPiecePause)
			}
			stop()
			_ = connection.Close()
		}
		time.Sleep(crowdReturn)
	}
}
