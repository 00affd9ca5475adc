package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// field is one leaf of the settings: its path in the file, its meaning and
// its allowed values.
type field struct {
	path  string
	usage string
	// allowed describes the allowed values.
	allowed string
	// get and set access the value in its text form.
	get   func() string
	set   func(string) error
	valid func() bool
}

// flagName turns a path such as timeouts.drainMillis into
// timeouts-drain-millis.
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

// The allowed ranges.
const (
	maxIDBytes   = 128
	maxTimeout   = 600_000
	minBodyBytes = 1 << 10
	minMemory    = 16 << 20
	maxMemory    = 1 << 40
	maxBodyBytes = 64 << 20
	maxRequests  = 1_000_000
	maxConns     = 65_536
)

var logLevels = []string{"debug", "info", "warning", "error"}

// fields lists the leaves of the settings.
func fields(e *Entry) []field {
	return []field{
		text("vmId", "id of the VM in the platform's VM list", &e.VMID),
		text("dataCentre", "id of the data centre", &e.DataCentre),
		text("region", "region of the data centre", &e.Region),
		address("listen.callers", "address that callers use", &e.Listen.Callers, true),
		address("listen.peers", "address that other VMs use", &e.Listen.Peers, true),
		address("listen.admin", "address of health, metrics, status and drain", &e.Listen.Admin, true),
		source("source", "IP number of outgoing connections", &e.Source),
		address("platform.address", "address of the configuration service", &e.Platform.Address, false),
		share("objectives.availability", "share of requests that get a whole answer", &e.Objectives.Availability),
		number("objectives.firstTokenMillis", "objective for the time to the first token", &e.Objectives.FirstTokenMillis, 1, maxTimeout),
		share("objectives.firstTokenShare", "share of first tokens within the objective", &e.Objectives.FirstTokenShare),
		number("objectives.tokenGapMillis", "objective for the time between tokens", &e.Objectives.TokenGapMillis, 1, maxTimeout),
		share("objectives.tokenGapShare", "share of token gaps within the objective", &e.Objectives.TokenGapShare),
		number("timeouts.connectMillis", "wait for a connection", &e.Timeouts.Connect, 10, maxTimeout),
		number("timeouts.firstByteMillis", "wait for the first byte of an answer", &e.Timeouts.FirstByte, 10, maxTimeout),
		number("timeouts.betweenBytesMillis", "wait between two parts of a stream", &e.Timeouts.BetweenBytes, 10, maxTimeout),
		number("timeouts.requestMillis", "time of a request without a deadline", &e.Timeouts.Request, 10, maxTimeout),
		number("timeouts.peerRegionMillis", "wait for a VM of the same region", &e.Timeouts.PeerRegion, 10, maxTimeout),
		number("timeouts.peerRemoteMillis", "wait for a VM of another region", &e.Timeouts.PeerRemote, 10, maxTimeout),
		number("timeouts.drainMillis", "longest graceful shutdown", &e.Timeouts.Drain, 10, maxTimeout),
		number("timeouts.drainGraceMillis", "shortest graceful shutdown", &e.Timeouts.DrainGrace, 0, maxTimeout),
		number("limits.maxBodyBytes", "largest request body", &e.Limits.MaxBodyBytes, minBodyBytes, maxBodyBytes),
		number("limits.memoryBytes", "memory from which the collector works harder", &e.Limits.MemoryBytes, minMemory, maxMemory),
		number("limits.maxQueued", "requests that wait at once", &e.Limits.MaxQueued, 1, maxRequests),
		number("limits.maxOpenRequests", "requests open at once", &e.Limits.MaxOpenRequests, 1, maxRequests),
		number("limits.maxEndpointConnections", "connections to one endpoint", &e.Limits.MaxEndpointConnections, 1, maxConns),
		choice("log.level", "lowest level that is logged", &e.Log.Level, logLevels),
	}
}

func text[T ~string](path, usage string, value *T) field {
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

// address is an IP number and port; port 0 is allowed for listeners, where it
// stands for a free port.
func address(path, usage string, value *string, listener bool) field {
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

// source is an IP number without a port, or empty.
func source(path, usage string, value *string) field {
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

// share is an objective in parts of 1. It is below 1, because an objective
// of 1 leaves no error budget to burn.
func share(path, usage string, value *float64) field {
	return field{
		path: path, usage: usage, allowed: "above 0 and below 1",
		get:   func() string { return strconv.FormatFloat(*value, 'g', -1, 64) },
		set:   func(text string) (err error) { *value, err = strconv.ParseFloat(text, 64); return err },
		valid: func() bool { return *value > 0 && *value < 1 },
	}
}

func number[T ~int64](path, usage string, value *T, low, high int64) field {
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

func choice(path, usage string, value *string, allowed []string) field {
	return field{
		path: path, usage: usage, allowed: "one of " + strings.Join(allowed, ", "),
		get:   func() string { return strconv.Quote(*value) },
		set:   func(text string) error { *value = text; return nil },
		valid: func() bool { return slices.Contains(allowed, *value) },
	}
}
