package node

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one event of a stream. A stream that sends more without
// the end of an event is no stream of events, and would use up the VM's memory
// while its beginning is held back.
const maxEventBytes = 256 << 10

var errEventTooLong = eris.Errorf("no event ended within %d bytes", maxEventBytes)

// streamReadBytes is the size of the buffer for reading a stream. It holds many
// events, which have some tens of bytes each.
const streamReadBytes = 16 << 10

// relayStream sends a stream's events to the caller as they arrive. The
// response starts only with the first bytes, so that a stream that fails before
// them can still be sent to another endpoint.
func (n *Node) relayStream(w http.ResponseWriter, p *requestState, response *http.Response, answer Answer, silence *silenceWatch, tracker *sendTracker) sendResult {
	result := sendResult{status: response.StatusCode}
	controller := http.NewResponseController(w)
	events := eventBuffer{wholeEvents: p.request.Route.Resumable}
	buffer := make([]byte, streamReadBytes)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			tracker.recordFirstByte(true)
			tracker.lastBytes = time.Now()
			p.recordGap(tracker.lastBytes)
			tracker.events += bytes.Count(buffer[:count], eventEnd)
			ready, eventEnded, tooLong := events.add(buffer[:count])
			if tooLong != nil {
				result.reason = "stream broke off: " + tooLong.Error()
				return result
			}
			if eventEnded {
				tracker.recordAnswerBegan(p)
				// Bytes that complete no event are no progress: an engine that is
				// stuck may still send some now and then.
				silence.progress(p.streamSilenceLimit())
			}
			if len(ready) > 0 {
				silence.hold()
				err := n.writeToCaller(w, p, response, answer, ready)
				if err == nil {
					err = controller.Flush()
				}
				silence.release()
				if err != nil {
					result.reason = "caller left: " + err.Error()
					return result
				}
				result.bytes += int64(len(ready))
				p.lastEventID = events.lastID(p.lastEventID)
			}
		}
		if err == io.EOF {
			return n.finishStream(w, p, response, answer, &events, result)
		}
		if err != nil {
			result.reason = "stream broke off: " + err.Error()
			result.connectionLost = true
			return result
		}
	}
}

func (n *Node) writeToCaller(w http.ResponseWriter, p *requestState, response *http.Response, answer Answer, ready []byte) error {
	if !p.responseStarted {
		n.copyHeader(w, answer)
		if response.ContentLength >= 0 && !p.request.Route.Resumable {
			w.Header().Set("Content-Length", response.Header.Get("Content-Length"))
		}
		w.WriteHeader(response.StatusCode)
		p.startResponse()
		p.firstByteAt = time.Now()
	}
	count, err := w.Write(ready)
	p.bodyBytes += int64(count)
	return err
}

// finishStream ends the response of a stream that was read to its end. A stream
// that ends inside an event was broken off, and so was one without an event whose
// only end is that of its connection.
func (n *Node) finishStream(w http.ResponseWriter, p *requestState, response *http.Response, answer Answer, events *eventBuffer, result sendResult) sendResult {
	endsWithConnection := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if events.insideEvent() || endsWithConnection && len(events.tail) == 0 {
		result.reason = "stream broke off: it ended inside an event or before the first one"
		result.connectionLost = true
		return result
	}
	remainder := events.remainder()
	if len(remainder) > 0 || !p.responseStarted {
		if err := n.writeToCaller(w, p, response, answer, remainder); err != nil {
			result.reason = "caller left: " + err.Error()
			return result
		}
	}
	result.done = true
	result.bytes += int64(len(remainder))
	return result
}

// eventBuffer holds back the bytes of an incomplete event. This is needed for
// streams that may be resumed at another endpoint after their last complete
// event.
type eventBuffer struct {
	wholeEvents bool
	pending     []byte
	lastEventID string
	// sinceEventEnd counts the bytes after the end of the last event, and tail
	// holds the last bytes of the stream.
	sinceEventEnd int
	tail          []byte
}

var eventEnd = []byte("\n\n")

// tailBytes is the length of an event's end with carriage returns.
const tailBytes = len("\r\n\r\n")

// add returns the bytes that can be sent to the caller now, and whether an event
// has ended with them. It returns an error if an event is too long.
func (b *eventBuffer) add(data []byte) (ready []byte, eventEnded bool, err error) {
	end := bytes.LastIndex(data, eventEnd)
	switch {
	case end >= 0:
		end += len(eventEnd)
	case bytes.HasSuffix(b.tail, eventEnd[:1]) && data[0] == '\n':
		end = 1
	}
	b.tail = append(b.tail, data[max(len(data)-tailBytes, 0):]...)
	b.tail = b.tail[max(len(b.tail)-tailBytes, 0):]
	if end < 0 {
		b.sinceEventEnd += len(data)
	} else {
		b.sinceEventEnd = len(data) - end
	}
	if b.sinceEventEnd > maxEventBytes {
		return nil, false, errEventTooLong
	}
	if !b.wholeEvents {
		return data, end >= 0, nil
	}
	if end < 0 {
		b.pending = append(b.pending, data...)
		return nil, false, nil
	}
	ready = append(b.pending, data[:end]...)
	b.pending = append([]byte(nil), data[end:]...)
	b.recordLastID(ready)
	return ready, true, nil
}

// recordLastID records the id of the last event.
func (b *eventBuffer) recordLastID(ready []byte) {
	for _, line := range strings.Split(string(ready), "\n") {
		if id, found := strings.CutPrefix(line, "id:"); found {
			b.lastEventID = strings.TrimSpace(id)
		}
	}
}

func (b *eventBuffer) lastID(before string) string {
	if b.lastEventID == "" {
		return before
	}
	return b.lastEventID
}

// insideEvent reports whether the last byte belongs to an event that has not
// ended.
func (b *eventBuffer) insideEvent() bool {
	tail := bytes.ReplaceAll(b.tail, []byte("\r"), nil)
	return len(bytes.TrimLeft(tail, "\n")) > 0 && !bytes.HasSuffix(tail, eventEnd)
}

// remainder returns the bytes held back at the end of the stream.
func (b *eventBuffer) remainder() []byte { return b.pending }

// streamSilenceLimit returns how long a stream may complete no event before
// another endpoint is looked for; 0 means that it is not resumed.
func (p *requestState) streamSilenceLimit() time.Duration {
	if !p.request.Route.MayRepeat() || p.possibleRuns >= p.request.Route.Attempts {
		return 0
	}
	return max(streamSilenceLimit, pauseToleranceFactor*p.request.Route.PauseObjective)
}

// recordGap updates the longest pause between two chunks of a stream.
func (p *requestState) recordGap(now time.Time) {
	if !p.lastChunkAt.IsZero() {
		p.longestGap = max(p.longestGap, now.Sub(p.lastChunkAt))
	}
	p.lastChunkAt = now
}
