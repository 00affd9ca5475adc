package peers

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// maxMessageBytes bounds a message of a peer. A connection on which a longer
	// one arrives is closed, so that a peer cannot use up the VM's memory.
	maxMessageBytes = maxBodyBytes
	// streamBufferBytes is the size of a connection's read buffer; longer
	// messages are collected outside it.
	streamBufferBytes = 4 << 10
)

// messageStream sends and receives JSON-RPC messages, one JSON value a line. It
// implements jsonrpc2.ObjectStream. Unlike the library's own streams it bounds
// the length of a message, and it calls the messages' JSON methods directly,
// without scanning each message twice more.
type messageStream struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader

	writeMu sync.Mutex
}

func newMessageStream(conn io.ReadWriteCloser) *messageStream {
	return &messageStream{conn: conn, reader: bufio.NewReaderSize(conn, streamBufferBytes)}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *messageStream) WriteObject(message any) error {
	var line []byte
	var err error
	if marshaler, ok := message.(json.Marshaler); ok {
		line, err = marshaler.MarshalJSON()
	} else {
		line, err = json.Marshal(message)
	}
	if err != nil {
		return eris.Wrap(err, "encode a message")
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if _, err := s.conn.Write(append(line, '\n')); err != nil {
		return eris.Wrap(err, "write a message")
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *messageStream) ReadObject(message any) error {
	line, err := s.readLine()
	if err != nil {
		return err
	}
	if unmarshaler, ok := message.(json.Unmarshaler); ok {
		return unmarshaler.UnmarshalJSON(line)
	}
	return json.Unmarshal(line, message)
}

// readLine returns the next line that is not empty. The result is valid until
// the next call.
func (s *messageStream) readLine() ([]byte, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = s.readLongLine(line)
		}
		if err != nil {
			// The library compares the error with io.EOF.
			return nil, err
		}
		if len(line) > 1 {
			return line, nil
		}
	}
}

// readLongLine reads the rest of a line that is longer than the buffer.
func (s *messageStream) readLongLine(start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(line)+len(part) > maxMessageBytes {
			return nil, eris.Errorf("message exceeds %d bytes", maxMessageBytes)
		}
		line = append(line, part...)
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

// Close implements io.Closer.
func (s *messageStream) Close() error { return s.conn.Close() }
