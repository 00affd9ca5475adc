// Package settings reads the settings of an entry daemon: one JSON file,
// which flags override. Settings are checked whole before a port is opened.
package settings

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Millis is a duration in whole milliseconds, as settings write it.
type Millis int64

// Duration returns the value as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Entry holds the settings of an entry daemon.
type Entry struct {
	// VMID names the VM in the platform's VM list. A replacement has a new id.
	VMID       ids.VMID         `json:"vmId"`
	DataCentre ids.DataCentreID `json:"dataCentre"`
	Region     string           `json:"region"`
	Listen     Listen           `json:"listen"`
	// Source is the IP number from which the VM connects to peers, endpoints
	// and the platform. Empty leaves the choice to the system.
	Source     string     `json:"source"`
	Platform   Platform   `json:"platform"`
	Objectives Objectives `json:"objectives"`
	Timeouts   Timeouts   `json:"timeouts"`
	Limits     Limits     `json:"limits"`
	Log        Log        `json:"log"`
}

// Listen holds the addresses, as IP number and port, that the daemon listens
// on.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Platform tells where the configuration service is.
type Platform struct {
	// Address is its IP number and port.
	Address string `json:"address"`
}

// Objectives are the service-level objectives that the burn report measures
// against. Shares are in parts of 1.
type Objectives struct {
	// Availability is the share of requests that get a whole answer.
	Availability float64 `json:"availability"`
	// FirstTokenShare is the share of requests whose first token comes within
	// FirstTokenMillis.
	FirstTokenMillis Millis  `json:"firstTokenMillis"`
	FirstTokenShare  float64 `json:"firstTokenShare"`
	// TokenGapShare is the share of gaps between tokens that last at most
	// TokenGapMillis.
	TokenGapMillis Millis  `json:"tokenGapMillis"`
	TokenGapShare  float64 `json:"tokenGapShare"`
}

// Timeouts holds the waits of the daemon, in milliseconds.
type Timeouts struct {
	// Connect bounds opening a connection to an endpoint or peer.
	Connect Millis `json:"connectMillis"`
	// FirstByte bounds the wait for the first byte of an endpoint's answer,
	// after which its connection counts as silent.
	FirstByte Millis `json:"firstByteMillis"`
	// BetweenBytes bounds the wait between two parts of a stream.
	BetweenBytes Millis `json:"betweenBytesMillis"`
	// Request bounds a request whose caller set no deadline.
	Request Millis `json:"requestMillis"`
	// PeerRegion and PeerRemote bound a message to a VM of the same and of
	// another region.
	PeerRegion Millis `json:"peerRegionMillis"`
	PeerRemote Millis `json:"peerRemoteMillis"`
	// Drain bounds a graceful shutdown. It covers the longest request, so that
	// a shutdown cuts none.
	Drain Millis `json:"drainMillis"`
	// DrainGrace is the shortest graceful shutdown. Until it ends, late calls
	// are refused as not run, and new owners are told of rights in force.
	DrainGrace Millis `json:"drainGraceMillis"`
}

// Limits bounds what the daemon holds.
type Limits struct {
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MemoryBytes is the size from which the collector works harder. It is no
	// hard bound.
	MemoryBytes int64 `json:"memoryBytes"`
	// MaxQueued is the number of requests that wait at once; more are refused.
	MaxQueued int64 `json:"maxQueued"`
	// MaxOpenRequests is the number of requests that are open at once.
	MaxOpenRequests int64 `json:"maxOpenRequests"`
	// MaxEndpointConnections bounds the connections to one endpoint.
	MaxEndpointConnections int64 `json:"maxEndpointConnections"`
}

// Log configures the log.
type Log struct {
	Level string `json:"level"`
}

// Defaults returns the settings that hold where the file and the flags are
// silent. The identity and the addresses have no defaults, except the listen
// addresses, which stand for loopback.
func Defaults() Entry {
	return Entry{
		Listen: Listen{
			Callers: "127.0.0.1:8080",
			Peers:   "127.0.0.1:8081",
			Admin:   "127.0.0.1:8082",
		},
		Objectives: Objectives{
			Availability:     0.999,
			FirstTokenMillis: 1200,
			FirstTokenShare:  0.95,
			TokenGapMillis:   37,
			TokenGapShare:    0.95,
		},
		Timeouts: Timeouts{
			Connect:      1000,
			FirstByte:    10_000,
			BetweenBytes: 10_000,
			Request:      30_000,
			PeerRegion:   250,
			PeerRemote:   1000,
			Drain:        45_000,
			DrainGrace:   3000,
		},
		Limits: Limits{
			MaxBodyBytes:           1 << 20,
			MemoryBytes:            48 << 20,
			MaxQueued:              10_000,
			MaxOpenRequests:        20_000,
			MaxEndpointConnections: 256,
		},
		Log: Log{Level: "info"},
	}
}
