package http1

import (
	"bytes"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// HeadChecker checks the field names in the head of a response, and in those of the interim
// responses before it, as their bytes arrive. The zero value is ready for a head.
//
// net/http accepts blanks in a field name. It ignores such a field, which may be the one
// that says where the body ends, and joins a line that begins with a blank to the field
// before (RFC 9112, sections 5.1 and 5.2). It rejects all other malformed names.
type HeadChecker struct {
	// line holds the beginning of a line whose end has not arrived.
	line []byte
	// inFields is set behind the status line of a head, and interim if that is the line of
	// an interim response. done is set behind the final head.
	inFields, interim, done bool
}

// maxLineBytes bounds a line of a head.
const maxLineBytes = 64 << 10

var (
	errLineTooLong        = eris.Errorf("a line in the head of the response has more than %d bytes", maxLineBytes)
	errMalformedFieldName = eris.New("the head of the response has a malformed field name")
)

// Check checks the bytes that follow those of the calls before. It ignores what lies behind
// the head.
func (c *HeadChecker) Check(data []byte) error {
	for !c.done {
		line, rest, whole := bytes.Cut(data, []byte("\n"))
		if len(c.line)+len(line) > maxLineBytes {
			return errLineTooLong
		}
		if !whole {
			c.line = append(c.line, line...)
			return nil
		}
		if len(c.line) > 0 {
			line = append(c.line, line...)
			c.line = c.line[:0]
		}
		if err := c.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		data = rest
	}
	return nil
}

func (c *HeadChecker) checkLine(line []byte) error {
	switch {
	case !c.inFields:
		c.inFields, c.interim = true, isInterim(string(line))
	case len(line) == 0:
		c.inFields, c.done = false, !c.interim
	default:
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return eris.Wrapf(errMalformedFieldName, "%.40q", name)
		}
	}
	return nil
}

// isInterim reports whether another response follows the one with a status line.
func isInterim(statusLine string) bool {
	_, status, _ := strings.Cut(statusLine, " ")
	code, _, _ := strings.Cut(strings.TrimLeft(status, " "), " ")
	return len(code) == 3 && code[0] == '1' && code != "101"
}
