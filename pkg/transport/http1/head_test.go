package http1

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a verdict that depends on where the reads of a head are cut, or on bytes
// behind the head.
func TestHeadCheckerInPieces(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nServer: test\r\nEmpty:\r\n\r\n"
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for name, c := range map[string]struct {
		text      string
		malformed bool
	}{
		"sound":                        {sound, false},
		"line feeds alone":             {strings.ReplaceAll(sound, "\r", ""), false},
		"a body":                       {sound + "some body: x\n y\r\n\r\nHTTP/1.1 100 Continue\r\na b: c\r\n", false},
		"another protocol":             {"HTTP/1.1 101 Switching Protocols\r\n\r\na b: c\r\n", false},
		"interim":                      {interim + interim + sound + "a b: c\r\n", false},
		"a blank in a name":            {"HTTP/1.1 200 OK\r\nServer: test\r\nSome Name: x\r\n\r\n", true},
		"a blank behind a name":        {"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n", true},
		"a blank at first":             {"HTTP/1.1 200 OK\r\nServer: test\r\n Some-Name: x\r\n\r\n", true},
		"a control character":          {"HTTP/1.1 200 OK\r\nSome\x01Name: x\r\n\r\n", true},
		"no name":                      {"HTTP/1.1 200 OK\r\n: x\r\n\r\n", true},
		"a blank in an interim head":   {"HTTP/1.1 103 Early Hints\r\na b: x\r\n\r\n" + sound, true},
		"a blank behind interim heads": {interim + interim + "HTTP/1.1 200 OK\r\na b: x\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(c.text); size++ {
				var checker HeadChecker
				var err error
				for rest := c.text; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
					err = checker.Check([]byte(rest[:min(size, len(rest))]))
				}
				assert.Equal(t, errors.Is(err, errMalformedFieldName), c.malformed, "pieces of %d bytes: %v", size, err)
			}
		})
	}
}

// Guards against memory that grows with a line without end.
func TestLineWithoutEndIsRejected(t *testing.T) {
	var checker HeadChecker
	piece := []byte(strings.Repeat("x", 1000))
	for range maxLineBytes / len(piece) {
		assert.NilError(t, checker.Check(piece))
	}
	assert.ErrorIs(t, checker.Check(piece), errLineTooLong)
}
