package node

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Bounds of the answers that are read completely before they are sent to the
// caller. An endpoint in trouble may send bytes without end.
const (
	// maxBufferedAnswerBytes bounds one answer.
	maxBufferedAnswerBytes = 8 << 20
	// answerMemoryShare is the share of the VM's memory for all answers together;
	// defaultAnswerMemory replaces it if the VM's memory is not known.
	answerMemoryShare   = 0.1
	defaultAnswerMemory = 32 << 20
	// answerChunkBytes is the size of the first piece of memory for an answer.
	answerChunkBytes = 4 << 10
)

var (
	errAnswerTooLarge    = eris.Errorf("longer than %d bytes", maxBufferedAnswerBytes)
	errNoMemoryForAnswer = eris.New("no memory left for answers")
)

// answerMemory bounds the memory of the answers that are being read.
type answerMemory struct {
	limit int64
	used  atomic.Int64
}

func newAnswerMemory(vmMemory int64) *answerMemory {
	if vmMemory <= 0 {
		return &answerMemory{limit: defaultAnswerMemory}
	}
	return &answerMemory{limit: int64(answerMemoryShare * float64(vmMemory))}
}

// readAll reads an answer to its end. release must be called, also after an
// error, once the answer is no longer needed.
func (m *answerMemory) readAll(from io.Reader) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { m.used.Add(-reserved) }
	body = make([]byte, 0)
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), answerChunkBytes)
			added := int64(size - cap(body))
			reserved += added
			if m.used.Add(added) > m.limit {
				return nil, release, errNoMemoryForAnswer
			}
			body = append(make([]byte, 0, size), body...)
		}
		count, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case err == io.EOF:
			return body, release, nil
		case err != nil:
			return nil, release, err
		case len(body) > maxBufferedAnswerBytes:
			return nil, release, errAnswerTooLarge
		}
	}
}
