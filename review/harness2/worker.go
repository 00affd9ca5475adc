package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// workerConfig is what a worker process is told in its argument, as JSON.
type workerConfig struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Born    int64  `json:"born"`
	// EarlyPauseMs is how long the worker is silent between the first half of an answer
	// and the rest of a long request, which it reads then.
	EarlyPauseMs int `json:"earlyPause"`
}

// runWorker serves requests as a sound plain worker until it is killed. It writes a line
// to its output for each run.
func runWorker(argument string) error {
	var config workerConfig
	if err := json.Unmarshal([]byte(argument), &config); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return err
	}
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go config.serve(connection)
	}
}

// serve answers the requests of one connection.
func (c workerConfig) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReaderSize(connection, 4096)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Attempt-Identifier")
		head := fmt.Sprintf("Attempt-Identifier: %s\r\nInstance: %s\r\nServer-Load: 1,0,6\r\n", id, c.ID)
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != c.ID {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
			continue
		}
		if request.URL.Path == "/health" {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", head)
			continue
		}
		_, _ = fmt.Fprintf(os.Stdout, "run %s\n", id)
		answer := answerFor(id)
		if request.ContentLength <= longBodyBytes {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sServer-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(answer), answer)
			continue
		}
		// The answer to a long request begins before the request was read. It has no
		// length and ends with the connection.
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sServer-Stamp: stamp-%s\r\nConnection: close\r\n\r\n%s", head, id, answer[:len(answer)/2])
		time.Sleep(time.Duration(c.EarlyPauseMs) * time.Millisecond)
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, answer[len(answer)/2:])
		return
	}
}

// longBodyBytes is the length of a body from which a worker answers before it has read it.
const longBodyBytes = 1 << 20

// answerFor returns the whole answer to a request.
func answerFor(id string) string {
	lines := make([]string, 0, answerLines)
	for i := range answerLines {
		lines = append(lines, "line "+strconv.Itoa(i)+" of the confirmation for "+id)
	}
	return strings.Join(lines, "\n") + "\n"
}

const answerLines = 20
