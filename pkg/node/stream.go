package node

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"
)

// streamBuffer is the size of a read from a stream: many events of some tens
// of bytes.
const streamBuffer = 16 << 10

// relayStream passes a stream's events on as they arrive. The caller's answer
// begins with the first bytes, so that a stream that fails before them can
// still be sent elsewhere.
func (n *Node) relayStream(w http.ResponseWriter, p *progress, response *http.Response, answer Answer, dog *watchdog, track *sendTrack) sendResult {
	result := sendResult{status: response.StatusCode}
	flush := http.NewResponseController(w)
	events := eventBuffer{whole: p.request.Route.Resumable}
	buffer := make([]byte, streamBuffer)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			track.first(true)
			p.noteGap(time.Now())
			dog.reset(p.streamQuiet())
			if ready := events.take(buffer[:count]); len(ready) > 0 {
				if writeErr := n.passOn(w, p, response, answer, ready); writeErr != nil {
					result.reason = "caller left: " + writeErr.Error()
					return result
				}
				if flushErr := flush.Flush(); flushErr != nil {
					result.reason = "caller left: " + flushErr.Error()
					return result
				}
				result.bytes += int64(len(ready))
				p.lastEvent = events.lastID(p.lastEvent)
			}
		}
		if err == io.EOF {
			return n.endStream(w, p, response, answer, &events, result)
		}
		if err != nil {
			result.reason = "stream broke off: " + err.Error()
			return result
		}
	}
}

func (n *Node) passOn(w http.ResponseWriter, p *progress, response *http.Response, answer Answer, ready []byte) error {
	if !p.committed {
		n.copyHeader(w, answer)
		if response.ContentLength >= 0 && !p.request.Route.Resumable {
			w.Header().Set("Content-Length", response.Header.Get("Content-Length"))
		}
		w.WriteHeader(response.StatusCode)
		p.committed = true
		p.firstByte = time.Now()
	}
	_, err := w.Write(ready)
	return err
}

// endStream ends a stream whose last byte was read.
func (n *Node) endStream(w http.ResponseWriter, p *progress, response *http.Response, answer Answer, events *eventBuffer, result sendResult) sendResult {
	rest := events.rest()
	if len(rest) > 0 || !p.committed {
		if err := n.passOn(w, p, response, answer, rest); err != nil {
			result.reason = "caller left: " + err.Error()
			return result
		}
	}
	result.done = true
	result.bytes += int64(len(rest))
	return result
}

// eventBuffer holds back the bytes of an event that is not complete, for
// streams that may go on at another endpoint after their last whole event.
type eventBuffer struct {
	whole   bool
	pending []byte
	last    string
}

var eventEnd = []byte("\n\n")

// take returns the bytes that may be passed on.
func (b *eventBuffer) take(data []byte) []byte {
	if !b.whole {
		return data
	}
	b.pending = append(b.pending, data...)
	end := bytes.LastIndex(b.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	ready := append([]byte(nil), b.pending[:end]...)
	b.pending = append(b.pending[:0], b.pending[end:]...)
	b.note(ready)
	return ready
}

// note remembers the last event id.
func (b *eventBuffer) note(ready []byte) {
	for _, line := range strings.Split(string(ready), "\n") {
		if id, found := strings.CutPrefix(line, "id:"); found {
			b.last = strings.TrimSpace(id)
		}
	}
}

func (b *eventBuffer) lastID(before string) string {
	if b.last == "" {
		return before
	}
	return b.last
}

// rest returns what is left at the end of the stream.
func (b *eventBuffer) rest() []byte { return b.pending }

// streamQuiet is the silence within a stream after which it is resumed
// elsewhere; 0 for never.
func (p *progress) streamQuiet() time.Duration {
	if !p.request.Route.MayRepeat() || p.runs >= p.request.Route.Attempts {
		return 0
	}
	return streamQuiet
}

// noteGap keeps the longest pause between two parts of a stream.
func (p *progress) noteGap(now time.Time) {
	if !p.lastPart.IsZero() {
		p.longestGap = max(p.longestGap, now.Sub(p.lastPart))
	}
	p.lastPart = now
}
