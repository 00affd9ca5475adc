package observability

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Redacted stands in place of a key.
const Redacted = "[redacted]"

// minKeyBytes is the shortest word that is compared with the known keys. It
// saves hashing the short words that most lines consist of.
const minKeyBytes = 8

var (
	// credentials matches an HTTP authorization value with its scheme.
	credentials = regexp.MustCompile(`(?i)\b(bearer|basic)(\s+|%20|\+)[^\s"',;}\])]+`)
	// word matches what may be a key: all that white space, quotes and the
	// usual separators do not end.
	word = regexp.MustCompile(`[^\s"'` + "`" + `,;:=&?(){}\[\]<>\\]{8,}`)
	// secretField matches names of fields whose whole value is a secret.
	secretField = regexp.MustCompile(`(?i)^(proxy-)?authorization$|api[-_]?key$|^(x-)?caller[-_]?key$|token$|secret|password`)
)

// Redactor is a logrus hook that removes callers' keys from log lines. It
// knows keys by three signs: an authorization scheme before them, the name of
// the field they stand in, and their hash being that of a published key.
type Redactor struct {
	known atomic.Pointer[func(sha256Hex string) bool]
}

// SetKnown tells how to recognise the hash of a published key, withdrawn ones
// included. It is called from any goroutine that logs.
func (r *Redactor) SetKnown(known func(sha256Hex string) bool) { r.known.Store(&known) }

// Levels returns all levels, as logrus.Hook asks for.
func (r *Redactor) Levels() []logrus.Level { return logrus.AllLevels }

// Fire removes keys from the entry.
func (r *Redactor) Fire(entry *logrus.Entry) error {
	entry.Message = r.Clean(entry.Message)
	for name, value := range entry.Data {
		if secretField.MatchString(name) {
			entry.Data[name] = Redacted
			continue
		}
		entry.Data[name] = r.cleanValue(value)
	}
	return nil
}

// cleanValue returns the value itself if it has no key, and otherwise its
// text without the key.
func (r *Redactor) cleanValue(value any) any {
	var text string
	switch typed := value.(type) {
	case bool, int, int32, int64, uint, uint32, uint64, float64:
		return value
	case string:
		return r.Clean(typed)
	case []byte:
		return r.Clean(string(typed))
	case error:
		return r.Clean(typed.Error())
	case fmt.Stringer:
		return r.Clean(typed.String())
	default:
		data, err := json.Marshal(value)
		if err != nil {
			data = fmt.Append(nil, value)
		}
		text = string(data)
	}
	if clean := r.Clean(text); clean != text {
		return clean
	}
	return value
}

// Clean returns the text without keys.
func (r *Redactor) Clean(text string) string {
	if len(text) < minKeyBytes {
		return text
	}
	text = credentials.ReplaceAllString(text, "$1 "+Redacted)
	known := r.known.Load()
	if known == nil {
		return text
	}
	return word.ReplaceAllStringFunc(text, func(candidate string) string {
		if isKnown(*known, candidate) || isKnown(*known, strings.TrimRight(candidate, ".!")) {
			return Redacted
		}
		return candidate
	})
}

func isKnown(known func(string) bool, candidate string) bool {
	sum := sha256.Sum256([]byte(candidate))
	return known(hex.EncodeToString(sum[:]))
}
