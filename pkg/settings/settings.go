// Package settings reads the settings of the entry daemon, wagtailspoked: one
// JSON file, whose fields command-line flags override. All settings are
// validated before the daemon opens a port.
package settings

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Millis is a duration in whole milliseconds, as the settings file has it.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Settings holds the settings of an entry daemon. The JSON names are the names
// in the settings file; flags are derived from them.
type Settings struct {
	// VMID is the id of the VM in the platform's VM list. A replacement VM has
	// a new id.
	VMID       ids.VMID         `json:"vmId"`
	DataCentre ids.DataCentreID `json:"dataCentre"`
	Region     string           `json:"region"`
	Listen     Listen           `json:"listen"`
	// Source is the local IP address of connections to peers, endpoints and the
	// platform. If it is empty, the operating system chooses.
	Source     string     `json:"source"`
	Platform   Platform   `json:"platform"`
	Objectives Objectives `json:"objectives"`
	Timeouts   Timeouts   `json:"timeouts"`
	Limits     Limits     `json:"limits"`
	Log        Log        `json:"log"`
}

// Listen holds the listen addresses of the daemon, each an IP address and port.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Platform says how to reach the configuration service.
type Platform struct {
	// Address is the IP address and port of the configuration service.
	Address string `json:"address"`
}

// Objectives are the service-level objectives on which the burn report is
// based. Shares are fractions between 0 and 1.
type Objectives struct {
	// Availability is the share of requests that get a complete answer.
	Availability float64 `json:"availability"`
	// FirstTokenShare is the share of requests whose first token arrives within
	// FirstTokenMillis.
	FirstTokenMillis Millis  `json:"firstTokenMillis"`
	FirstTokenShare  float64 `json:"firstTokenShare"`
	// TokenGapShare is the share of gaps between tokens that last at most
	// TokenGapMillis.
	TokenGapMillis Millis  `json:"tokenGapMillis"`
	TokenGapShare  float64 `json:"tokenGapShare"`
}

// Timeouts holds the daemon's timeouts in milliseconds.
type Timeouts struct {
	// Connect bounds the opening of a connection to an endpoint or peer.
	Connect Millis `json:"connectMillis"`
	// FirstByte bounds the wait for the first byte of an endpoint's answer.
	// After that, the connection counts as silent.
	FirstByte Millis `json:"firstByteMillis"`
	// BetweenBytes bounds the wait between two parts of a stream.
	BetweenBytes Millis `json:"betweenBytesMillis"`
	// Request bounds a request whose caller set no deadline.
	Request Millis `json:"requestMillis"`
	// PeerRegion bounds a message to a VM of the same region, PeerRemote one to
	// a VM of another region.
	PeerRegion Millis `json:"peerRegionMillis"`
	PeerRemote Millis `json:"peerRemoteMillis"`
	// Drain bounds a graceful shutdown. It must be at least Request, so that a
	// shutdown cuts no request.
	Drain Millis `json:"drainMillis"`
	// DrainGrace is the shortest duration of a graceful shutdown. Until it
	// ends, the daemon refuses late calls as not run, so that callers may
	// repeat them, and tells the new owners of its endpoints which rights are
	// still in force.
	DrainGrace Millis `json:"drainGraceMillis"`
}

// Limits bounds the memory, requests and connections of the daemon.
type Limits struct {
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MemoryBytes is the soft memory limit of the Go runtime: the garbage
	// collector runs more often as the process approaches it. The process can
	// exceed it.
	MemoryBytes int64 `json:"memoryBytes"`
	// MaxQueued is the largest number of requests that wait at the same time.
	// Further ones are refused.
	MaxQueued int64 `json:"maxQueued"`
	// MaxOpenRequests is the largest number of requests that are open at the
	// same time.
	MaxOpenRequests int64 `json:"maxOpenRequests"`
	// MaxEndpointConnections is the largest number of connections to one
	// endpoint.
	MaxEndpointConnections int64 `json:"maxEndpointConnections"`
}

// Log configures the daemon's log.
type Log struct {
	Level string `json:"level"`
}

// Defaults returns the settings that apply where neither the file nor a flag
// sets a value. The VM's identity and the addresses have no defaults, except
// for the listen addresses, which default to loopback.
func Defaults() Settings {
	return Settings{
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
