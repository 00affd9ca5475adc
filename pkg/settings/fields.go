package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// field describes one scalar field of the settings: its path in the file, its
// meaning and its allowed values. It also defines the field's command-line
// flag.
type field struct {
	path string
	// usage is the description in the help of the flag and on the configuration
	// page.
	usage string
	// allowed describes the allowed values in words.
	allowed string
	// get and set read and write the value in its text form.
	get func() string
	set func(string) error
	// valid reports whether the current value is allowed.
	valid func() bool
}

// flagName returns the name of the field's flag: the path timeouts.drainMillis
// becomes timeouts-drain-millis.
func (f field) flagName() string {
	var name strings.Builder
	for _, r := range f.path {
		switch {
		case r == '.':
			name.WriteByte('-')
		case r >= 'A' && r <= 'Z':
			name.WriteByte('-')
			name.WriteRune(r - 'A' + 'a')
		default:
			name.WriteRune(r)
		}
	}
	return name.String()
}

// The limits of the allowed values.
const (
	maxIDBytes       = 128
	maxTimeoutMillis = 600_000
	minBodyBytes     = 1 << 10
	minMemoryBytes   = 16 << 20
	maxMemoryBytes   = 1 << 40
	maxBodyBytes     = 64 << 20
	maxRequestCount  = 1_000_000
	maxConnections   = 65_536
)

var logLevels = []string{"debug", "info", "warning", "error"}

// fields lists all scalar fields of s, bound to their values in s.
func fields(s *Settings) []field {
	return []field{
		identifierField("vmId", "id of the VM in the platform's VM list", &s.VMID),
		identifierField("dataCentre", "id of the data centre", &s.DataCentre),
		identifierField("region", "region of the data centre", &s.Region),
		addressField("listen.callers", "address that callers use", &s.Listen.Callers, true),
		addressField("listen.peers", "address that other VMs use", &s.Listen.Peers, true),
		addressField("listen.admin", "address of health, metrics, status and drain", &s.Listen.Admin, true),
		optionalIPField("source", "IP number of outgoing connections", &s.Source),
		addressField("platform.address", "address of the configuration service", &s.Platform.Address, false),
		fractionField("objectives.availability", "share of requests that get a whole answer", &s.Objectives.Availability),
		integerField("objectives.firstTokenMillis", "objective for the time to the first token", &s.Objectives.FirstTokenMillis, 1, maxTimeoutMillis),
		fractionField("objectives.firstTokenShare", "share of first tokens within the objective", &s.Objectives.FirstTokenShare),
		integerField("objectives.tokenGapMillis", "objective for the time between tokens", &s.Objectives.TokenGapMillis, 1, maxTimeoutMillis),
		fractionField("objectives.tokenGapShare", "share of token gaps within the objective", &s.Objectives.TokenGapShare),
		integerField("timeouts.connectMillis", "wait for a connection", &s.Timeouts.Connect, 10, maxTimeoutMillis),
		integerField("timeouts.firstByteMillis", "wait for the first byte of an answer", &s.Timeouts.FirstByte, 10, maxTimeoutMillis),
		integerField("timeouts.betweenBytesMillis", "wait between two parts of a stream", &s.Timeouts.BetweenBytes, 10, maxTimeoutMillis),
		integerField("timeouts.requestMillis", "time of a request without a deadline", &s.Timeouts.Request, 10, maxTimeoutMillis),
		integerField("timeouts.peerRegionMillis", "wait for a VM of the same region", &s.Timeouts.PeerRegion, 10, maxTimeoutMillis),
		integerField("timeouts.peerRemoteMillis", "wait for a VM of another region", &s.Timeouts.PeerRemote, 10, maxTimeoutMillis),
		integerField("timeouts.drainMillis", "longest graceful shutdown", &s.Timeouts.Drain, 10, maxTimeoutMillis),
		integerField("timeouts.drainGraceMillis", "shortest graceful shutdown", &s.Timeouts.DrainGrace, 0, maxTimeoutMillis),
		integerField("limits.maxBodyBytes", "largest request body", &s.Limits.MaxBodyBytes, minBodyBytes, maxBodyBytes),
		integerField("limits.memoryBytes", "memory from which the collector works harder", &s.Limits.MemoryBytes, minMemoryBytes, maxMemoryBytes),
		integerField("limits.maxQueued", "requests that wait at once", &s.Limits.MaxQueued, 1, maxRequestCount),
		integerField("limits.maxOpenRequests", "requests open at once", &s.Limits.MaxOpenRequests, 1, maxRequestCount),
		integerField("limits.maxEndpointConnections", "connections to one endpoint", &s.Limits.MaxEndpointConnections, 1, maxConnections),
		enumField("log.level", "lowest level that is logged", &s.Log.Level, logLevels),
	}
}

// identifierField describes a required name without slashes and white space.
func identifierField[T ~string](path, usage string, value *T) field {
	return field{
		path: path, usage: usage,
		allowed: fmt.Sprintf("1 to %d characters without slash or white space", maxIDBytes),
		get:     func() string { return strconv.Quote(string(*value)) },
		set:     func(text string) error { *value = T(text); return nil },
		valid: func() bool {
			return *value != "" && len(*value) <= maxIDBytes && !strings.ContainsAny(string(*value), "/ \t\r\n")
		},
	}
}

// addressField describes an IP address and port. Listeners may have port 0,
// which stands for any free port.
func addressField(path, usage string, value *string, listener bool) field {
	allowed := "an IP number and a port from 1 to 65535, such as 127.0.0.1:8080"
	if listener {
		allowed = "an IP number and a port, such as 127.0.0.1:8080; port 0 takes a free one"
	}
	return field{
		path: path, usage: usage, allowed: allowed,
		get: func() string { return strconv.Quote(*value) },
		set: func(text string) error { *value = text; return nil },
		valid: func() bool {
			parsed, err := netip.ParseAddrPort(*value)
			return err == nil && (listener || parsed.Port() != 0)
		},
	}
}

// optionalIPField describes an IP address without a port, which may be empty.
func optionalIPField(path, usage string, value *string) field {
	return field{
		path: path, usage: usage, allowed: "an IP number, or empty for the system's choice",
		get: func() string { return strconv.Quote(*value) },
		set: func(text string) error { *value = text; return nil },
		valid: func() bool {
			_, err := netip.ParseAddr(*value)
			return *value == "" || err == nil
		},
	}
}

// fractionField describes the target of an objective as a fraction. It must be
// below 1, because an objective of 1 leaves no error budget.
func fractionField(path, usage string, value *float64) field {
	return field{
		path: path, usage: usage, allowed: "above 0 and below 1",
		get:   func() string { return strconv.FormatFloat(*value, 'g', -1, 64) },
		set:   func(text string) (err error) { *value, err = strconv.ParseFloat(text, 64); return err },
		valid: func() bool { return *value > 0 && *value < 1 },
	}
}

// integerField describes a whole number from low to high.
func integerField[T ~int64](path, usage string, value *T, low, high int64) field {
	return field{
		path: path, usage: usage, allowed: fmt.Sprintf("%d to %d", low, high),
		get: func() string { return strconv.FormatInt(int64(*value), 10) },
		set: func(text string) error {
			parsed, err := strconv.ParseInt(text, 10, 64)
			*value = T(parsed)
			return err
		},
		valid: func() bool { return int64(*value) >= low && int64(*value) <= high },
	}
}

// enumField describes a string that is one of a few allowed ones.
func enumField(path, usage string, value *string, allowed []string) field {
	return field{
		path: path, usage: usage, allowed: "one of " + strings.Join(allowed, ", "),
		get:   func() string { return strconv.Quote(*value) },
		set:   func(text string) error { *value = text; return nil },
		valid: func() bool { return slices.Contains(allowed, *value) },
	}
}
