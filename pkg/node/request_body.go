package node

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/connections"
)

const (
	// largeBodyBytes is the size above which a body is released once it was written.
	largeBodyBytes = 256 << 10
	// bodyChunkBytes is the size of the first piece of memory for a body. The pieces
	// grow with the body up to maxPieceBytes, which bounds the memory that a body of
	// unknown length does not use.
	bodyChunkBytes = 4 << 10
	maxPieceBytes  = 64 << 10
	// retryNoMemory is about the time in which bodies that are held are sent on.
	retryNoMemory = time.Second
)

var (
	errNoMemoryForBody = eris.New("no memory left for request bodies")
	errBodyReleased    = eris.New("the request body is no longer held")
)

// bodyMemory bounds the memory of the request bodies that are held, by the account of
// what callers hold.
type bodyMemory struct{ account *callerAccount }

func newBodyMemory(vmMemory int64) *bodyMemory {
	return &bodyMemory{newCallerAccount(vmMemory, 0)}
}

func (m *bodyMemory) used() int64 { return m.account.usage().BodyBytes }

func (m *bodyMemory) limit() int64 { return m.account.config.BodyBytes }

// scarce reports whether more than half of the memory is used.
func (m *bodyMemory) scarce() bool { return m.used() > m.limit()/2 }

// requestBody is the body of a request while it is held. It consists of pieces, since
// memory that grows by copying leaves as much garbage as the body has. A piece is not used
// for another body: a write to an endpoint may still read it after the release. Its
// methods are safe for concurrent use.
type requestBody struct {
	account    *callerAccount
	connection connections.ID

	mu     sync.Mutex
	pieces [][]byte
	// length is the number of bytes in the pieces, and reserved that of their memory.
	length   int64
	reserved int64
	released bool
}

// readBody reads a body to its end. length is negative if it is not stated.
func (m *bodyMemory) readBody(from io.Reader, length int64) (*requestBody, error) {
	return m.readBodyOf(0, from, length)
}

// readBodyOf is readBody for a body that arrives on a connection.
func (m *bodyMemory) readBodyOf(connection connections.ID, from io.Reader, length int64) (*requestBody, error) {
	body := &requestBody{account: m.account, connection: connection}
	if err := body.read(from, length); err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// read takes memory as bytes arrive, so that a caller that only states a length uses
// none.
func (b *requestBody) read(from io.Reader, length int64) error {
	var one [1]byte
	var last []byte
	for length < 0 || b.length < length {
		// One byte more shows whether the memory has to grow.
		full := len(last) == cap(last)
		into := last[len(last):cap(last)]
		if full {
			into = one[:]
		}
		count, err := from.Read(into)
		if full && count > 0 {
			if last = b.grow(length); last == nil {
				return errNoMemoryForBody
			}
			last = append(last, one[0])
		} else {
			last = last[:len(last)+count]
		}
		if len(b.pieces) > 0 {
			b.pieces[len(b.pieces)-1] = last
		}
		b.length += int64(count)
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return err
		case length >= 0 && b.length < length:
			return io.ErrUnexpectedEOF
		default:
			return nil
		}
	}
	return nil
}

// grow adds an empty piece as large as the body, up to maxPieceBytes and to the body's
// length if that is stated. It returns nil if there is no memory left.
func (b *requestBody) grow(length int64) []byte {
	size := min(max(b.length, bodyChunkBytes), maxPieceBytes)
	if length >= 0 {
		size = min(size, length-b.length)
	}
	if !b.account.reserve(b.connection, size, b.reserved+size) {
		return nil
	}
	b.reserved += size
	piece := make([]byte, 0, size)
	b.pieces = append(b.pieces, piece)
	return piece
}

// release gives the memory of the body back. It is not sent again.
func (b *requestBody) release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released, b.pieces, b.length = true, nil, 0
	b.account.release(b.connection, b.reserved)
	b.reserved = 0
}

// held reports whether the body can still be sent.
func (b *requestBody) held() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.released
}

// setOn makes the body that of a request to an endpoint. If once is set, it is
// released when a large one has been written.
func (b *requestBody) setOn(request *http.Request, once bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.length == 0 {
		return
	}
	request.ContentLength = b.length
	sent := &sentBody{pieces: b.pieces, left: b.length}
	if once && b.length > largeBodyBytes {
		sent.held = b
	}
	request.Body = sent
}

// sentBody is a body while it is written to an endpoint. It may be closed while it is read.
type sentBody struct {
	// held is released when the whole body has been written; it may be nil.
	held *requestBody

	mu     sync.Mutex
	pieces [][]byte
	// read is the number of bytes that were read of the first piece, and left that of
	// all bytes that were not read.
	read int
	left int64
}

// Read implements io.Reader.
func (s *sentBody) Read(into []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == 0 {
		return 0, io.EOF
	}
	if len(s.pieces) == 0 {
		return 0, errBodyReleased
	}
	total := 0
	for total < len(into) && s.left > 0 {
		count := copy(into[total:], s.pieces[0][s.read:])
		total += count
		s.read += count
		s.left -= int64(count)
		if s.read == len(s.pieces[0]) {
			s.pieces, s.read = s.pieces[1:], 0
		}
	}
	return total, nil
}

// Close implements io.Closer.
func (s *sentBody) Close() error {
	s.mu.Lock()
	written := s.left == 0
	// The request refers to its body until it is answered.
	s.pieces = nil
	s.mu.Unlock()
	if written {
		s.held.release()
	}
	return nil
}
