package harness3

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Call is one attempt of a client.
type Call struct {
	Method, Host, Path, Key string
	// Header holds further headers.
	Header map[string]string
	Limit  time.Duration
	Body   io.Reader
}

// Answer is what a client got.
type Answer struct {
	ID     string
	SentAt time.Time
	Took   time.Duration
	// Status is 0 if there was no answer. Complete is set if its body was whole.
	Status   int
	Complete bool
	Body     string
	Header   http.Header
	Error    string
}

// NewID returns an identifier of an attempt.
func NewID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Send sends a request to a VM on a new connection.
func Send(vm *VM, call Call) Answer {
	answer := Answer{ID: NewID(), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), call.Limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+vm.Front+call.Path, call.Body)
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	request.Host, request.Close = call.Host, true
	request.Header.Set("Attempt-Identifier", answer.ID)
	request.Header.Set("Deadline-Milliseconds", fmt.Sprint(call.Limit.Milliseconds()))
	if call.Key != "" {
		request.Header.Set("Authorization", "Token "+call.Key)
	}
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		answer.Error, answer.Took = err.Error(), time.Since(answer.SentAt)
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	answer.Status, answer.Header, answer.Body, answer.Complete, answer.Took = response.StatusCode, response.Header, string(body), err == nil, time.Since(answer.SentAt)
	if err != nil {
		answer.Error = err.Error()
	}
	return answer
}

// Served reports whether the answer is a worker's complete success.
func (a Answer) Served() bool {
	return a.Status >= 200 && a.Status < 300 && a.Complete && a.Header.Get("Server-Stamp") != ""
}

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Write adds a line with the time since the start.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to the standard output.
func (r *Record) Say(format string, args ...any) {
	r.Write(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Exit codes of a script.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Main runs a case: run gets the deployment and whether the disruption is wanted, and
// returns the exit code. The environment names the repository (REVIEW_ROOT) and the folder
// of the case (REVIEW_CASE).
func Main(run func(d *Deployment, r *Record, trouble bool) (int, error)) {
	os.Exit(runCase(run))
}

func runCase(run func(d *Deployment, r *Record, trouble bool) (int, error)) int {
	record, err := NewRecord(os.Getenv("REVIEW_CASE"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer func() { _ = record.file.Close() }()
	d, err := New(os.Getenv("REVIEW_ROOT"))
	if err != nil {
		record.Say("cannot run: %v", err)
		return CannotRun
	}
	defer d.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Say("disruption: %v", trouble)
	code, err := run(d, record, trouble)
	for _, worker := range d.Workers {
		worker.writeRuns(record)
	}
	if err != nil {
		record.Say("cannot run: %v", err)
		return CannotRun
	}
	record.Say("exit code %d", code)
	return code
}
