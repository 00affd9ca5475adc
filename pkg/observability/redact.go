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

// Redacted replaces a removed key.
const Redacted = "[redacted]"

// minKeyBytes is the length of the shortest word that is compared with the
// published keys. It avoids hashing the short words that make up most lines.
// The expression keyCandidate repeats the number.
const minKeyBytes = 8

var (
	// authorizationValue matches the scheme and credentials of an HTTP
	// Authorization header.
	authorizationValue = regexp.MustCompile(`(?i)\b(bearer|basic)(\s+|%20|\+)[^\s"',;}\])]+`)
	// keyCandidate matches words that may be a key: any characters except white
	// space, quotes and the usual separators.
	keyCandidate = regexp.MustCompile(`[^\s"'` + "`" + `,;:=&?(){}\[\]<>\\]{8,}`)
	// secretFieldName matches the names of log fields whose whole value is a
	// secret.
	secretFieldName = regexp.MustCompile(`(?i)^(proxy-)?authorization$|api[-_]?key$|^(x-)?caller[-_]?key$|token$|secret|password`)
)

// Redactor is a logrus hook that removes callers' API keys from log lines. It
// recognises a key by a preceding authorization scheme, by the name of its log
// field, or because its hash is the hash of a published key. Its methods are
// safe for concurrent use.
type Redactor struct {
	// isPublishedKey is nil until the published keys are known.
	isPublishedKey atomic.Pointer[func(sha256Hex string) bool]
}

// SetKeyLookup sets the function that reports whether a hash is the SHA-256 of
// a published key, including withdrawn ones. Every goroutine that logs may call
// the function.
func (r *Redactor) SetKeyLookup(isPublishedKey func(sha256Hex string) bool) {
	r.isPublishedKey.Store(&isPublishedKey)
}

// Levels returns all levels. It implements logrus.Hook.
func (r *Redactor) Levels() []logrus.Level { return logrus.AllLevels }

// Fire removes keys from a log entry. It implements logrus.Hook.
func (r *Redactor) Fire(entry *logrus.Entry) error {
	entry.Message = r.Redact(entry.Message)
	for name, value := range entry.Data {
		if secretFieldName.MatchString(name) {
			entry.Data[name] = Redacted
			continue
		}
		entry.Data[name] = r.redactValue(value)
	}
	return nil
}

// redactValue returns the text of a field value without keys. A number, a
// boolean or a structure without a key is returned unchanged.
func (r *Redactor) redactValue(value any) any {
	var text string
	switch typed := value.(type) {
	case bool, int, int32, int64, uint, uint32, uint64, float64:
		return value
	case string:
		return r.Redact(typed)
	case []byte:
		return r.Redact(string(typed))
	case error:
		return r.Redact(typed.Error())
	case fmt.Stringer:
		return r.Redact(typed.String())
	default:
		data, err := json.Marshal(value)
		if err != nil {
			data = fmt.Append(nil, value)
		}
		text = string(data)
	}
	if redacted := r.Redact(text); redacted != text {
		return redacted
	}
	return value
}

// Redact returns the text with each key replaced by Redacted.
func (r *Redactor) Redact(text string) string {
	if len(text) < minKeyBytes {
		return text
	}
	text = authorizationValue.ReplaceAllString(text, "$1 "+Redacted)
	isPublishedKey := r.isPublishedKey.Load()
	if isPublishedKey == nil {
		return text
	}
	return keyCandidate.ReplaceAllStringFunc(text, func(candidate string) string {
		if isPublished(*isPublishedKey, candidate) || isPublished(*isPublishedKey, strings.TrimRight(candidate, ".!")) {
			return Redacted
		}
		return candidate
	})
}

// isPublished reports whether a word is a published key.
func isPublished(isPublishedKey func(string) bool, candidate string) bool {
	sum := sha256.Sum256([]byte(candidate))
	return isPublishedKey(hex.EncodeToString(sum[:]))
}
