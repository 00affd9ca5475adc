package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Parameters of the case. One of four workers of a service is a share of 0.25, the
// largest of srv_crash in the site file, which lasts 2 s there.
const (
	resetRounds     = 4
	resetUploads    = 12
	resetBodyBytes  = 4_000_000
	resetEarlyPause = 900 * time.Millisecond
	resetKillAfter  = 500 * time.Millisecond
	// resetDownFor is the time from a crash to the start of the next incarnation, below the
	// 2 s of the site file.
	resetDownFor = 1800 * time.Millisecond
	// entryLapse is the time after which the store removes the entry of a silent worker:
	// three intervals of its liveness reports.
	entryLapse = 3600 * time.Millisecond
)

// pageWorker is a worker process with the record that it keeps in the store.
type pageWorker struct {
	config  workerConfig
	process *process
}

func (d *deployment) startWorker(config workerConfig) (*pageWorker, error) {
	config.Born = time.Now().UnixMilli()
	argument, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := startProcess(filepath.Join(d.dir, "worker-"+config.Zone+".log"), nil, self, "worker", string(argument))
	if err != nil {
		return nil, err
	}
	d.adopt(p)
	for range 100 {
		if connection, err := net.Dial("tcp", config.Address); err == nil {
			_ = connection.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.store.Put("servers/"+config.ID, map[string]any{
		"service": config.Service, "address": config.Address, "zone": config.Zone, "version": "v1", "slots": 6,
		"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": config.Born,
	})
	return &pageWorker{config: config, process: p}, nil
}

// runResetAnswer checks MIXED: an answer that has no length and whose connection is reset
// before its end must not look complete. Callers send long requests, which the workers
// begin to answer before they have read them. With trouble, one worker is killed in each
// round while its answers are on their way.
func runResetAnswer(d *deployment) (bool, error) {
	d.publishConfig(1, []any{route("upload", "/upload/", "unsafe", "booking-app", 10000, 1)}, []any{map[string]any{"name": "booking-app", "connection-limit": 96}}, []string{caseKey})
	workers := make([]*pageWorker, len(zones))
	for i, zone := range zones {
		ip := fmt.Sprintf("127.60.0.%d", 10+i)
		ports, err := freePorts(ip, 1)
		if err != nil {
			return false, err
		}
		if workers[i], err = d.startWorker(workerConfig{
			ID: fmt.Sprintf("w-%d-0", i), Service: "booking-app", Zone: zone, Address: fmt.Sprintf("%s:%d", ip, ports[0]), EarlyPauseMs: int(resetEarlyPause.Milliseconds()),
		}); err != nil {
			return false, err
		}
	}
	if err := d.startVMs(zones[0]); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	whole, cut, failed := 0, 0, 0
	for round := range resetRounds {
		answers := make([]uploadAnswer, resetUploads)
		var uploads sync.WaitGroup
		for i := range answers {
			uploads.Go(func() { answers[i] = d.upload(d.vms[0], fmt.Sprintf("upload-%d-%d", round, i)) })
		}
		time.Sleep(resetKillAfter)
		victim := round % len(workers)
		var killed time.Time
		if d.trouble {
			id := workers[victim].config.ID
			d.record.printf("round %d: worker %s is killed", round, id)
			killed = time.Now()
			workers[victim].process.kill()
			time.AfterFunc(entryLapse, func() { d.store.Delete("servers/" + id) })
		}
		uploads.Wait()
		for _, a := range answers {
			d.record.printf("%s: status %d, complete %v, %d of %d bytes, error %v", a.id, a.status, a.complete, len(a.body), len(answerFor(a.id)), a.err)
			switch {
			case a.status != http.StatusOK || !a.complete:
				failed++
			case string(a.body) == answerFor(a.id):
				whole++
			default:
				cut++
				d.record.printf("%s: BROKEN: a complete 200 with the first %d bytes of the worker's %d", a.id, len(a.body), len(answerFor(a.id)))
			}
		}
		if !d.trouble {
			continue
		}
		time.Sleep(time.Until(killed.Add(resetDownFor)))
		config := workers[victim].config
		config.ID = fmt.Sprintf("w-%d-%d", victim, round+1)
		var err error
		if workers[victim], err = d.startWorker(config); err != nil {
			return false, err
		}
		d.record.printf("worker %s is there %.2f s after the crash", workers[victim].config.ID, time.Since(killed).Seconds())
		// The next round begins when the store has removed the entry.
		time.Sleep(time.Until(killed.Add(entryLapse + 400*time.Millisecond)))
	}
	d.record.printf("%d whole answers, %d failed, %d cut answers that look complete", whole, failed, cut)
	if whole == 0 {
		return false, fmt.Errorf("no answer was whole")
	}
	return cut == 0, nil
}

// uploadAnswer is the answer to one upload.
type uploadAnswer struct {
	id       string
	status   int
	complete bool
	body     []byte
	err      error
}

func (d *deployment) upload(v *vm, id string) uploadAnswer {
	answer := uploadAnswer{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.front+"/upload/x", bytes.NewReader(make([]byte, resetBodyBytes)))
	if err != nil {
		answer.err = err
		return answer
	}
	request.Host, request.Close = caseHost, true
	request.Header.Set("Attempt-Identifier", id)
	request.Header.Set("Deadline-Milliseconds", "10000")
	request.Header.Set("Authorization", "Token "+caseKey)
	response, err := (&http.Transport{DisableCompression: true}).RoundTrip(request)
	if err != nil {
		answer.err = err
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.status = response.StatusCode
	answer.body, answer.err = io.ReadAll(response.Body)
	answer.complete = answer.err == nil
	return answer
}
