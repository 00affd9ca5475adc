package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Location is the place of one value in a JSON document, as offsets of its first
// byte and of the byte after it.
type Location struct {
	Path       string
	Start, End int64
}

// Locations lists the values of a JSON document.
type Locations struct {
	data   []byte
	values []Location
	byPath map[string]int
	// Repeated lists the fields that an object holds more than once. Decoders use
	// the last one.
	Repeated []Location
}

// Locate returns where the values of a valid JSON document are. The path of the
// whole document is empty; the others look like a[2].b.
func Locate(data []byte) (*Locations, error) {
	l := &Locations{data: data, byPath: make(map[string]int)}
	decoder := json.NewDecoder(bytes.NewReader(data))
	return l, l.value(decoder, "")
}

func (l *Locations) value(decoder *json.Decoder, path string) error {
	start := decoder.InputOffset()
	start += int64(len(l.data[start:]) - len(bytes.TrimLeft(l.data[start:], " \t\r\n,:")))
	index := len(l.values)
	l.values = append(l.values, Location{Path: path, Start: start})
	if _, repeated := l.byPath[path]; repeated {
		l.Repeated = append(l.Repeated, l.values[index])
	}
	l.byPath[path] = index
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if delim, opens := token.(json.Delim); opens {
		for i := 0; decoder.More(); i++ {
			child := fmt.Sprintf("%s[%d]", path, i)
			if delim == '{' {
				name, err := decoder.Token()
				if err != nil {
					return err
				}
				child = strings.TrimPrefix(fmt.Sprintf("%s.%v", path, name), ".")
			}
			if err := l.value(decoder, child); err != nil {
				return err
			}
		}
		if _, err := decoder.Token(); err != nil {
			return err
		}
	}
	l.values[index].End = decoder.InputOffset()
	return nil
}

// Values lists all values in the order of the document.
func (l *Locations) Values() []Location { return l.values }

// Find returns the value at a path. If there is none, it returns the nearest
// value around it.
func (l *Locations) Find(path string) Location {
	for {
		if index, found := l.byPath[path]; found {
			return l.values[index]
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// Line returns the line of an offset, from 1.
func (l *Locations) Line(offset int64) int { return LineAt(l.data, offset) }

// LineAt returns the line of an offset in data, from 1.
func LineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), int64(len(data)))], []byte("\n"))
}
