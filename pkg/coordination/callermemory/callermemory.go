// Package callermemory keeps the account of the memory and the connections that callers
// make a VM hold, and decides which callers are evicted when there is no room: those
// that make no progress, first those of the sender that holds most, and for a new
// connection the slowest request of the sender that holds most. The package is
// deterministic: time is an argument, and it closes nothing itself.
package callermemory

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the bounds and times of an Account.
type Config struct {
	// MemoryBytes bounds bodies and connections together, BodyBytes all bodies, and
	// ConnectionBytes all connections with their heads.
	MemoryBytes, BodyBytes, ConnectionBytes int64
	// A body of more than LargeBodyBytes may not use the last SmallBodyShare of BodyBytes.
	LargeBodyBytes int64
	SmallBodyShare float64
	// ProcessBytes is the measured memory of the process from which large bodies and long
	// heads do not grow and no connection is added; 0 means no bound.
	ProcessBytes int64
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	// IdleCharge is counted for each connection, RequestCharge in addition while a
	// request is read or served, and HeadFactor for each byte and LineCharge for each line
	// of a head.
	IdleCharge, RequestCharge, HeadFactor, LineCharge int64
	// ProgressBytes is what must arrive to count as progress.
	ProgressBytes int64
	// FreeReadBytes is what is parsed of a request before it has to take turns with others.
	FreeReadBytes int64
	// CalmFullness is the used share up to which a sender may pause for the idle timeout.
	// From there to a full account, the time without progress falls to FullPause.
	CalmFullness float64
	IdleTimeout  time.Duration
	FullPause    time.Duration
	// HeadTimeout bounds the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// MinAnswerPause is how long a caller may at least leave an answer unread.
	MinAnswerPause time.Duration
	// SpareShare is the share of a bound that is freed beyond what is needed.
	SpareShare float64
	// RetryScan is how long no sender is looked for after none was found.
	RetryScan time.Duration
}

// Shares of a VM's memory; see docs/design/untrusted-callers.md.
const (
	memoryShare     = 0.45
	bodyShare       = 0.4
	connectionShare = 0.25
	// processShare is the share for Go's heap and stacks. The program's text and the
	// kernel's part of the resident set took up to 15 MB of 64 MB in trials.
	processShare = 0.66
	// callerShare is the share of MemoryBytes from which callers are taken to cause what
	// the process holds.
	callerShare = 0.25
	// defaultMemoryBytes replaces a memory that is not known.
	defaultMemoryBytes = 160 << 20
	// connectionDescriptors is the number of descriptors that a caller's connection may
	// need: its own, and one to an endpoint.
	connectionDescriptors = 2
)

// ReservedDescriptors is the number of descriptors that are kept for files.
const ReservedDescriptors = 200

// DefaultConfig returns the bounds for a VM's memory and descriptors; 0 means that they
// are not known.
func DefaultConfig(memoryBytes int64, descriptors int) Config {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	connections := 0
	if descriptors > 0 {
		connections = max((descriptors-ReservedDescriptors)/connectionDescriptors, 1)
	}
	share := func(s float64) int64 { return int64(s * float64(memoryBytes)) }
	return Config{
		MemoryBytes: share(memoryShare), BodyBytes: share(bodyShare), ConnectionBytes: share(connectionShare),
		LargeBodyBytes: 256 << 10, SmallBodyShare: 0.25, MaxConnections: connections,
		IdleCharge: 16 << 10, RequestCharge: 16 << 10, HeadFactor: 3, LineCharge: 256,
		ProgressBytes: 1 << 10, FreeReadBytes: 16 << 10, CalmFullness: 0.5, IdleTimeout: 15 * time.Second, FullPause: time.Second,
		ProcessBytes: share(processShare), HeadTimeout: 10 * time.Second, MinAnswerPause: 5 * time.Second, SpareShare: 1.0 / 32, RetryScan: 50 * time.Millisecond,
	}
}

// ID names a connection. 0 stands for a request without one, which is never evicted.
type ID uint64

// Phase is what a connection is occupied with.
type Phase int

// The phases.
const (
	// Idle connections wait for a request.
	Idle Phase = iota
	// Head and Body connections receive a request.
	Head
	Body
	// Serving connections have a whole request that is not yet answered.
	Serving
	// Answering connections have an answer that the caller has not taken yet.
	Answering
	// Discarding connections have a refused request, the rest of whose body is read and
	// dropped. They are evicted without regard to progress.
	Discarding
)

// Reason says why a connection is closed.
type Reason string

// The reasons.
const (
	// NoRoom means that the connection is evicted to make room for another one.
	NoRoom Reason = "no room"
	// Stalled means that it made no progress for too long.
	Stalled Reason = "no progress"
	// SlowHead means that the head of a request took too long.
	SlowHead Reason = "head too slow"
	// Unread means that the caller did not take its answer.
	Unread Reason = "answer not read"
)

// Closed is a connection to be closed.
type Closed struct {
	ID     ID
	Phase  Phase
	Reason Reason
	Sender string
	Bytes  int64
}

// Usage is what the account holds.
type Usage struct {
	BodyBytes, ConnectionBytes int64
	Connections                int
}

// connection is the account's entry for a connection.
type connection struct {
	id     ID
	sender string
	// address is the sender that the connection was opened with.
	address string
	phase   Phase
	// charge and body are what the connection and its body are counted with, and
	// unreleased is what its body still holds after it was named to be closed.
	charge, body, unreleased int64
	// lastByte is when a byte last arrived, or was last taken of an answer. progressAt is
	// when ProgressBytes last had arrived, and received counts the bytes since.
	lastByte, progressAt time.Time
	received             int64
	// phaseAt is when the phase began, and phaseBytes is what has arrived since.
	phaseAt    time.Time
	phaseBytes int64
	// hadTurn is set once a part of the request was parsed in a turn.
	hadTurn bool
	// waiting is set while what has arrived waits for its turn to be parsed.
	waiting bool
	// reason is set once the connection is to be closed.
	reason Reason
	// gone is set if the connection has ended while its body is still held.
	gone bool
}

// Account counts what callers hold. It must not be used concurrently.
type Account struct {
	config      Config
	connections map[ID]*connection
	// open counts the connections that are neither gone nor to be closed; closing
	// counts those that still hold a descriptor after they were named.
	open, closing    int
	body, connection int64
	// unreleased is the memory of bodies that were given up and not yet released.
	unreleased int64
	// processBytes is the measured memory of the process.
	processBytes int64
	// scanAfter is when a sender to evict is looked for again, by what needs room:
	// one that is of use to a connection may be of none to a large body.
	scanAfter [needs]time.Time
	// byAddress counts the open connections of each address, and crowdAfter is when a slow
	// request gives way to another connection of an address that holds most.
	byAddress  map[string]int
	crowdAfter time.Time
}

// need is what needs room.
type need int

const (
	needConnection need = iota
	needHead
	needSmallBody
	needLargeBody
	needs
)

// New returns an empty account.
func New(config Config) *Account {
	return &Account{config: config, connections: make(map[ID]*connection), byAddress: make(map[string]int)}
}

// SetIdleTimeout sets how long a sender may pause in calm.
func (a *Account) SetIdleTimeout(timeout time.Duration) { a.config.IdleTimeout = timeout }

// SetHeadTimeout sets how long a head may take, also in calm.
func (a *Account) SetHeadTimeout(timeout time.Duration) { a.config.HeadTimeout = timeout }

// SetProcessMemory records the measured memory of the process, which includes garbage that
// no entry counts.
func (a *Account) SetProcessMemory(bytes int64) { a.processBytes = bytes }

// processFull reports whether the process has no memory left for callers. If they hold
// little, the rest is the VM's own state, and turning them away would free nothing.
func (a *Account) processFull() bool {
	held := a.body + a.connection + a.unreleased
	return a.config.ProcessBytes > 0 && a.processBytes >= a.config.ProcessBytes && float64(held) >= callerShare*float64(a.config.MemoryBytes)
}

// Open adds a connection of a sender, which waits for its first request. If there is no room for it, admitted is false and
// it is not counted.
func (a *Account) Open(now time.Time, id ID, sender string) (admitted bool, closed []Closed) {
	if a.processFull() {
		return false, nil
	}
	charge := a.config.IdleCharge + a.config.RequestCharge
	fits := func(spare float64) bool { return a.fitsConnection(charge, spare) }
	if !fits(0) {
		closed = a.makeRoom(now, needConnection, fits, func(*connection) bool { return true })
		if !fits(0) {
			closed = append(closed, a.evictSlowest(now, sender)...)
		}
		if !fits(0) {
			return false, closed
		}
	}
	a.connections[id] = &connection{id: id, sender: sender, address: sender, phase: Idle, charge: charge, lastByte: now, progressAt: now, phaseAt: now}
	a.connection += charge
	a.open++
	a.byAddress[sender]++
	return true, closed
}

// Received records bytes that have arrived, and the number of line ends in them. It reports
// false if there is no room for a long head, whose connection is to be closed then.
func (a *Account) Received(now time.Time, id ID, bytes, lines int) (kept bool, closed []Closed) {
	c := a.connections[id]
	if c == nil || c.reason != "" && c.phase != Idle {
		return true, nil
	}
	if c.reason != "" {
		a.keep(c)
	}
	if c.phase == Idle {
		a.setPhase(now, c, Head)
	}
	c.lastByte = now
	c.phaseBytes += int64(bytes)
	if c.received += int64(bytes); c.received >= a.config.ProgressBytes {
		c.received, c.progressAt = 0, now
	}
	if c.phase != Head {
		return true, nil
	}
	added := a.config.HeadFactor*int64(bytes) + a.config.LineCharge*int64(lines)
	c.charge += added
	a.connection += added
	// What ordinary heads need is small beside the charge of their connections.
	if c.charge <= a.config.IdleCharge+2*a.config.RequestCharge {
		return true, nil
	}
	if a.processFull() {
		return false, []Closed{a.close(c, NoRoom)}
	}
	if a.fitsHead(0, 0) {
		return true, nil
	}
	closed = a.makeRoom(now, needHead, func(spare float64) bool { return a.fitsHead(0, spare) }, func(other *connection) bool { return other != c })
	if !a.fitsHead(0, 0) {
		return false, append(closed, a.close(c, NoRoom))
	}
	return true, closed
}

// Turn is the turn that a connection needs for what it has received.
type Turn struct {
	Sender string
	// GoesOn is set if a part of the request was parsed before. Requests that have begun
	// come first: if all advanced at the same pace, they would fill the memory together.
	GoesOn bool
}

// NextTurn returns the turn that a connection needs before what it has received is parsed,
// and whether it needs one: so do requests of more than Config.FreeReadBytes.
func (a *Account) NextTurn(id ID) (turn Turn, needed bool) {
	c := a.connections[id]
	if c == nil || c.phaseBytes <= a.config.FreeReadBytes || c.phase != Head && c.phase != Body && c.phase != Discarding {
		return Turn{}, false
	}
	goesOn := c.hadTurn
	c.hadTurn = true
	return Turn{Sender: c.sender, GoesOn: goesOn}, true
}

// SetWaiting records whether what a connection has received waits for its turn. The time
// until then is no pause of its sender.
func (a *Account) SetWaiting(now time.Time, id ID, waiting bool) {
	if c := a.connections[id]; c != nil {
		c.waiting, c.lastByte, c.progressAt = waiting, now, now
	}
}

// SetPhase records what a connection is occupied with. It reports false if the connection
// was named to be closed before: its request must not be run then.
func (a *Account) SetPhase(now time.Time, id ID, phase Phase) bool {
	c := a.connections[id]
	if c == nil {
		return id == 0
	}
	if c.reason != "" {
		if c.phase != Idle {
			return false
		}
		a.keep(c)
	}
	if c.phase != phase {
		a.setPhase(now, c, phase)
	}
	return true
}

// BeginWrite records that bytes of an answer are to be taken by the caller. A part of an
// answer that is sent while a request still arrives changes nothing.
func (a *Account) BeginWrite(now time.Time, id ID) {
	if c := a.connections[id]; c != nil && c.reason == "" && c.phase == Serving {
		a.setPhase(now, c, Answering)
	}
}

// EndWrite records that the caller, or the kernel for it, has taken these bytes.
func (a *Account) EndWrite(now time.Time, id ID) {
	if c := a.connections[id]; c != nil && c.reason == "" && c.phase == Answering {
		a.setPhase(now, c, Serving)
	}
}

// Answering returns the connections whose callers have taken nothing of an answer for
// longer than a time, as far as the account knows.
func (a *Account) Answering(now time.Time, longer time.Duration) []ID {
	var ids []ID
	for id, c := range a.connections {
		if c.phase == Answering && c.reason == "" && !c.gone && now.Sub(c.lastByte) > longer {
			ids = append(ids, id)
		}
	}
	return ids
}

// Taken records that the caller has taken a part of an answer that is being written.
func (a *Account) Taken(now time.Time, id ID) {
	if c := a.connections[id]; c != nil && c.reason == "" && c.phase == Answering {
		c.lastByte = now
	}
}

func (a *Account) setPhase(now time.Time, c *connection, phase Phase) {
	c.phase, c.phaseAt, c.lastByte, c.progressAt, c.received, c.phaseBytes, c.hadTurn = phase, now, now, now, 0, 0, false
	charge := a.config.IdleCharge
	if phase != Idle {
		// The head is held until the request is answered.
		charge = max(c.charge, charge+a.config.RequestCharge)
	}
	a.connection += charge - c.charge
	c.charge = charge
}

// SetSender names the sender of a connection once more is known than its address.
func (a *Account) SetSender(id ID, sender string) {
	if c := a.connections[id]; c != nil {
		c.sender = sender
	}
}

// Reserve counts a part of a body that has total bytes with it, and reports whether there
// is room.
func (a *Account) Reserve(now time.Time, id ID, part, total int64) (reserved bool, closed []Closed) {
	c := a.connections[id]
	if c == nil && id != 0 || c != nil && c.reason != "" {
		return false, nil
	}
	if a.processFull() && total > a.config.LargeBodyBytes {
		return false, nil
	}
	fits := func(spare float64) bool { return a.fitsBody(part, total, spare) }
	if !fits(0) {
		if c != nil {
			// The bytes that need the room have just arrived.
			c.progressAt = now
		}
		needed := needSmallBody
		if total > a.config.LargeBodyBytes {
			needed = needLargeBody
		}
		closed = a.makeRoom(now, needed, fits, func(stalled *connection) bool { return stalled.body > 0 || a.body+part <= a.bodyLimit(total) })
		if !fits(0) {
			return false, closed
		}
	}
	if a.body+a.unreleased+part > a.config.BodyBytes+int64(unreleasedShare*float64(a.config.BodyBytes)) {
		return false, closed
	}
	a.body += part
	if c != nil {
		c.body += part
	}
	return true, closed
}

// unreleasedShare is the share of BodyBytes by which bodies may exceed it with those that
// were given up. On a busy machine, their memory is released late.
const unreleasedShare = 1.0 / 8

func (a *Account) bodyLimit(total int64) int64 {
	if total > a.config.LargeBodyBytes {
		return a.config.BodyBytes - int64(a.config.SmallBodyShare*float64(a.config.BodyBytes))
	}
	return a.config.BodyBytes
}

// Release gives back a part of a body.
func (a *Account) Release(id ID, part int64) {
	c := a.connections[id]
	switch {
	case id == 0:
		a.body -= part
	case c == nil:
		// It was given back when the connection ended.
	case c.reason != "":
		part = min(part, c.unreleased)
		a.unreleased -= part
		c.unreleased -= part
	default:
		a.body -= part
		c.body -= part
		if c.gone && c.body == 0 {
			delete(a.connections, id)
		}
	}
}

// End removes a connection that has ended. Its body is counted until it is released.
func (a *Account) End(id ID) {
	c := a.connections[id]
	switch {
	case c == nil || c.gone:
		return
	case c.reason != "":
		a.closing--
		a.unreleased -= c.unreleased
		delete(a.connections, id)
		return
	}
	a.leave(c)
	a.connection -= c.charge
	c.charge, c.gone = 0, true
	if c.body == 0 {
		delete(a.connections, id)
	}
}

// Usage returns what the account holds.
func (a *Account) Usage() Usage {
	return Usage{BodyBytes: a.body, ConnectionBytes: a.connection, Connections: a.open + a.closing}
}

// fullness returns the largest used share of a bound. Connections between two requests do
// not count: they are evicted as soon as there is need, so that they are no reason to hurry
// others.
func (a *Account) fullness() float64 {
	connectionBytes, count := a.connection, a.open+a.closing
	for _, c := range a.connections {
		if c.phase == Idle && c.reason == "" && !c.gone {
			connectionBytes -= c.charge
			count--
		}
	}
	fullness := max(
		float64(a.body)/float64(a.config.BodyBytes),
		float64(connectionBytes)/float64(a.config.ConnectionBytes),
		float64(a.body+connectionBytes)/float64(a.config.MemoryBytes),
	)
	if a.config.MaxConnections > 0 {
		fullness = max(fullness, float64(count)/float64(a.config.MaxConnections))
	}
	return fullness
}

// DiscardShare returns which share of the usual part of a refused body may be read and
// dropped: 1 in calm, and 0 when connections use all of their room. Bodies that are held
// do not count, since the dropped part uses no memory.
func (a *Account) DiscardShare() float64 {
	fullness := float64(a.connection) / float64(a.config.ConnectionBytes)
	if a.config.MaxConnections > 0 {
		fullness = max(fullness, float64(a.open+a.closing)/float64(a.config.MaxConnections))
	}
	return min(max((1-fullness)/(1-a.config.CalmFullness), 0), 1)
}

// calmReserve is added to the idle timeout in calm, so that a sender that just keeps it is
// not closed.
const calmReserve = time.Second

// pause returns how long a sender may make no progress, and whether the account is calm.
func (a *Account) pause() (time.Duration, bool) {
	above := (a.fullness() - a.config.CalmFullness) / (1 - a.config.CalmFullness)
	if above <= 0 {
		return a.config.IdleTimeout + calmReserve, true
	}
	longest, shortest := a.config.IdleTimeout, min(a.config.FullPause, a.config.IdleTimeout)
	return longest - time.Duration(min(above, 1)*float64(longest-shortest)), false
}

// Expired names the connections that have made no progress for too long, or whose heads
// took too long. In calm, a head may pause for that time.
func (a *Account) Expired(now time.Time) []Closed {
	pause, calm := a.pause()
	var closed []Closed
	for _, c := range a.connections {
		if c.reason != "" || c.gone || c.waiting {
			continue
		}
		since, limit, reason := c.progressAt, pause, Stalled
		switch c.phase {
		case Head:
			if now.Sub(c.phaseAt) > a.config.HeadTimeout {
				closed = append(closed, a.close(c, SlowHead))
				continue
			}
			if calm {
				continue
			}
		case Body:
			if calm {
				since = c.lastByte
			}
		case Answering:
			since, limit, reason = c.lastByte, max(pause, a.config.MinAnswerPause), Unread
		default:
			continue
		}
		if now.Sub(since) > limit {
			closed = append(closed, a.close(c, reason))
		}
	}
	sortByID(closed)
	return closed
}

// fitsMemory reports whether more bytes fit, beside a share of the bound that stays free.
func (a *Account) fitsMemory(bytes int64, spare float64) bool {
	return a.body+a.connection+bytes <= without(a.config.MemoryBytes, spare)
}

func (a *Account) fitsBody(part, total int64, spare float64) bool {
	return a.body+part <= without(a.bodyLimit(total), spare) && a.fitsMemory(part, spare)
}

// fitsHead reports whether more bytes of connections and heads fit.
func (a *Account) fitsHead(bytes int64, spare float64) bool {
	return a.connection+bytes <= without(a.config.ConnectionBytes, spare) && a.fitsMemory(bytes, spare)
}

// closingShare is the share of MaxConnections by which connections that are being closed
// may exceed it: one that was given up sends its refusal for up to half a second.
const closingShare = 0.25

func (a *Account) fitsConnection(charge int64, spare float64) bool {
	if !a.fitsHead(charge, spare) {
		return false
	}
	limit := int64(a.config.MaxConnections)
	return limit <= 0 || int64(a.open) < max(without(limit, spare), 1) && int64(a.open+a.closing) < limit+int64(closingShare*float64(limit))
}

func without(bound int64, share float64) int64 { return bound - int64(share*float64(bound)) }

// makeRoom names stalled connections that are useful to close, until what has to fit does
// so with some room to spare.
func (a *Account) makeRoom(now time.Time, needed need, fits func(spare float64) bool, useful func(*connection) bool) []Closed {
	if now.Before(a.scanAfter[needed]) {
		return nil
	}
	var closed []Closed
	for _, group := range a.stalled(now) {
		for _, c := range group.connections {
			if fits(a.config.SpareShare) {
				return closed
			}
			if useful(c) {
				closed = append(closed, a.close(c, NoRoom))
			}
		}
	}
	if len(closed) == 0 {
		a.scanAfter[needed] = now.Add(a.config.RetryScan)
	}
	return closed
}

// group is the connections of one sender that make no progress.
type group struct {
	sender      string
	bytes       int64
	connections []*connection
}

// stalled returns the connections that have made no progress for FullPause, or whose
// request is refused already, by sender. The sender that holds most comes first, and of
// its connections the one that holds most.
func (a *Account) stalled(now time.Time) []*group {
	bySender := make(map[string]*group)
	for _, c := range a.connections {
		if c.reason != "" || c.gone || c.phase == Serving || c.phase == Answering {
			continue
		}
		if c.phase != Discarding && now.Sub(c.progressAt) < a.config.FullPause {
			continue
		}
		g := bySender[c.sender]
		if g == nil {
			g = &group{sender: c.sender}
			bySender[c.sender] = g
		}
		g.bytes += c.charge + c.body
		g.connections = append(g.connections, c)
	}
	groups := make([]*group, 0, len(bySender))
	for _, g := range bySender {
		slices.SortFunc(g.connections, func(x, y *connection) int {
			return cmp.Or(cmp.Compare(y.charge+y.body, x.charge+x.body), x.progressAt.Compare(y.progressAt), cmp.Compare(x.id, y.id))
		})
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(x, y *group) int { return cmp.Or(cmp.Compare(y.bytes, x.bytes), cmp.Compare(x.sender, y.sender)) })
	return groups
}

// keep takes back that a connection between two requests is to be closed. It is closed
// only while no request arrives, and goes on if it was not closed in time.
func (a *Account) keep(c *connection) {
	c.reason = ""
	a.open++
	a.byAddress[c.address]++
	a.closing--
}

// leave counts a connection as no longer open.
func (a *Account) leave(c *connection) {
	a.open--
	if a.byAddress[c.address]--; a.byAddress[c.address] == 0 {
		delete(a.byAddress, c.address)
	}
}

// crowdShare is the share of the open connections from which an address counts as a crowd.
const crowdShare = 0.5

// evictSlowest names the slowest request that has been arriving for FullPause, of the
// sender with most of them, to make room for a connection from an address. Connections of
// an address that holds most of them take each other's places only once in RetryScan.
func (a *Account) evictSlowest(now time.Time, address string) []Closed {
	if float64(a.byAddress[address]) >= crowdShare*float64(a.open) {
		if now.Before(a.crowdAfter) {
			return nil
		}
		a.crowdAfter = now.Add(a.config.RetryScan)
	}
	counts := make(map[string]int)
	slowest := make(map[string]*connection)
	for _, c := range a.connections {
		if c.reason != "" || c.gone || c.phase != Head && c.phase != Body || now.Sub(c.phaseAt) < a.config.FullPause {
			continue
		}
		counts[c.sender]++
		if other := slowest[c.sender]; other == nil || c.slowerThan(other, now) {
			slowest[c.sender] = c
		}
	}
	var largest string
	for sender, count := range counts {
		if largest == "" || count > counts[largest] || count == counts[largest] && sender < largest {
			largest = sender
		}
	}
	if largest == "" {
		return nil
	}
	return []Closed{a.close(slowest[largest], NoRoom)}
}

// slowerThan compares the mean rates at which two requests arrive.
func (c *connection) slowerThan(other *connection, now time.Time) bool {
	rate := func(c *connection) float64 { return float64(c.phaseBytes) / now.Sub(c.phaseAt).Seconds() }
	return cmp.Or(cmp.Compare(rate(c), rate(other)), cmp.Compare(c.id, other.id)) < 0
}

// close names a connection and gives its memory back, of which that of a body is held until
// it is released. Its descriptor counts until End.
func (a *Account) close(c *connection, reason Reason) Closed {
	closed := Closed{ID: c.id, Phase: c.phase, Reason: reason, Sender: c.sender, Bytes: c.charge + c.body}
	a.connection -= c.charge
	a.body -= c.body
	a.leave(c)
	a.closing++
	a.unreleased += c.body
	c.reason, c.charge, c.body, c.unreleased = reason, 0, 0, c.body
	return closed
}

// ReasonOf returns why a connection was named to be closed, or "" if it was not.
func (a *Account) ReasonOf(id ID) Reason {
	if c := a.connections[id]; c != nil {
		return c.reason
	}
	return ""
}

func sortByID(closed []Closed) {
	slices.SortFunc(closed, func(x, y Closed) int { return cmp.Compare(x.ID, y.ID) })
}
