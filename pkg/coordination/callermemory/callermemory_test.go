package callermemory_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/callermemory"
)

var startTime = time.Unix(1000, 0)

const memory, kilobyte = 64 << 20, 1 << 10

// openIdle opens connections of an address, with IDs from 1 on, that send nothing.
func openIdle(t *testing.T, a *callermemory.Account, count int, address string) {
	t.Helper()
	for id := range count {
		admitted, _ := a.Open(startTime, callermemory.ID(id+1), address)
		assert.Assert(t, admitted, id)
	}
}

// openBody opens a connection and lets a body arrive on it in pieces of 16 KB.
func openBody(t *testing.T, a *callermemory.Account, now time.Time, id callermemory.ID, sender string, bytes int64) bool {
	t.Helper()
	admitted, _ := a.Open(now, id, sender)
	assert.Assert(t, admitted)
	assert.Assert(t, a.SetPhase(now, id, callermemory.Body))
	const piece = 16 * kilobyte
	for held := int64(0); held < bytes; held += piece {
		a.Received(now, id, piece, 0)
		if reserved, _ := a.Reserve(now, id, piece, held+piece); !reserved {
			return false
		}
	}
	return true
}

// Load: bodies of 240 KB that stop short of their end, until no more fits. Guards against
// an ordinary body that is refused for as long as they stay, and against a sender with
// little that is evicted before the one that holds most.
func TestSendersThatHoldMostGiveWay(t *testing.T) {
	a := callermemory.New(callermemory.DefaultConfig(memory, 0))
	assert.Assert(t, openBody(t, a, startTime, 1, "little", 100*kilobyte))
	id := callermemory.ID(2)
	for openBody(t, a, startTime, id, "much", 240*kilobyte) {
		id++
	}
	assert.Assert(t, id > 90, "%d bodies", id)
	// Nobody is stalled yet.
	reserved, closed := a.Reserve(startTime, 1, 400*kilobyte, 500*kilobyte)
	assert.Assert(t, !reserved && len(closed) == 0)
	later := startTime.Add(1100 * time.Millisecond)
	admitted, closed := a.Open(later, 1000, "ordinary")
	assert.Assert(t, admitted)
	reserved, more := a.Reserve(later, 1000, 100*kilobyte, 100*kilobyte)
	closed = append(closed, more...)
	assert.Assert(t, reserved && len(closed) > 0)
	for _, c := range closed {
		assert.Equal(t, c.Sender, "much")
		assert.Equal(t, c.Reason, callermemory.NoRoom)
		assert.Assert(t, !a.SetPhase(later, c.ID, callermemory.Serving), "its request would still run")
	}
	assert.Assert(t, len(closed) < 20, "%d closed for 100 KB", len(closed))
}

// Guards against a caller that is closed in calm although it keeps the idle timeout, and
// one that keeps its memory without a byte.
func TestCalmSenderMayPause(t *testing.T) {
	a := callermemory.New(callermemory.DefaultConfig(memory, 800))
	assert.Assert(t, openBody(t, a, startTime, 1, "slow", 64*kilobyte))
	now := startTime
	for range 20 {
		now = now.Add(15 * time.Second)
		assert.Equal(t, len(a.Expired(now)), 0)
		a.Received(now, 1, 1, 0)
	}
	closed := a.Expired(now.Add(17 * time.Second))
	assert.Equal(t, len(closed), 1)
	assert.Equal(t, closed[0].Reason, callermemory.Stalled)
}

// Guards against stalled bodies that stay longer the fuller the account is, a trickle that
// counts as progress, and a request that is closed while it is served.
func TestFullAccountIsLessPatient(t *testing.T) {
	expiry := func(bodies int) time.Duration {
		a := callermemory.New(callermemory.DefaultConfig(memory, 0))
		for id := range bodies {
			if !openBody(t, a, startTime, callermemory.ID(id+1), "crowd", 240*kilobyte) {
				break
			}
		}
		a.SetPhase(startTime, 1, callermemory.Serving)
		for now := startTime; ; now = now.Add(100 * time.Millisecond) {
			a.Received(now, 2, 1, 0)
			for _, c := range a.Expired(now) {
				assert.Assert(t, c.ID != 1, "a request that is served was closed")
				if c.ID == 2 {
					return now.Sub(startTime)
				}
			}
		}
	}
	full, half := expiry(104), expiry(70)
	assert.Assert(t, full <= 3*time.Second, "%v", full)
	assert.Assert(t, half > full && half < 16*time.Second, "%v", half)
}

// Load: 300 connections that send heads byte by byte, where 300 are allowed. Guards
// against a new caller that finds no place, and more connections than are allowed.
func TestStalledHeadsGiveWayToNewConnections(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 800)
	a := callermemory.New(config)
	openIdle(t, a, config.MaxConnections, "crowd")
	admitted, _ := a.Open(startTime, 1000, "ordinary")
	assert.Assert(t, !admitted)
	assert.Equal(t, a.Usage().Connections, config.MaxConnections)
	admitted, closed := a.Open(startTime.Add(1100*time.Millisecond), 1000, "ordinary")
	assert.Assert(t, admitted && len(closed) > 0 && len(closed) <= 11, "%d closed", len(closed))
}

// Guards against an answer that a caller leaves unread for good, one that is cut although
// it is taken slowly, and a part of an answer that ends the account of a body.
func TestUnreadAnswerIsClosed(t *testing.T) {
	a := callermemory.New(callermemory.DefaultConfig(memory, 800))
	assert.Assert(t, openBody(t, a, startTime, 1, "reader", 0))
	a.BeginWrite(startTime, 1)
	a.EndWrite(startTime, 1)
	assert.Equal(t, len(a.Expired(startTime.Add(17*time.Second))), 1, "the body counts as whole")
	assert.Assert(t, openBody(t, a, startTime, 2, "reader", 0))
	assert.Assert(t, a.SetPhase(startTime, 2, callermemory.Serving))
	assert.Equal(t, len(a.Expired(startTime.Add(time.Minute))), 0)
	now := startTime.Add(time.Minute)
	a.BeginWrite(now, 2)
	for range 5 {
		now = now.Add(15 * time.Second)
		assert.Equal(t, len(a.Expired(now)), 0)
		a.Received(now, 2, 1, 0)
	}
	closed := a.Expired(now.Add(17 * time.Second))
	assert.Equal(t, len(closed), 1)
	assert.Equal(t, closed[0].Reason, callermemory.Unread)
}

// Guards against a request that is lost on a kept connection: it arrives while the
// connection is evicted for others.
func TestRequestOnAConnectionThatGivesWayIsServed(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 800)
	a := callermemory.New(config)
	for id := range config.MaxConnections {
		admitted, _ := a.Open(startTime, callermemory.ID(id+1), "kept")
		assert.Assert(t, admitted && a.SetPhase(startTime, callermemory.ID(id+1), callermemory.Idle))
	}
	now := startTime.Add(2 * time.Second)
	_, closed := a.Open(now, 1000, "new")
	assert.Assert(t, len(closed) > 0 && closed[0].Phase == callermemory.Idle)
	a.Received(now, closed[0].ID, 100, 0)
	assert.Assert(t, a.SetPhase(now, closed[0].ID, callermemory.Serving))
	for id := range config.MaxConnections {
		a.End(callermemory.ID(id + 1))
	}
	a.End(1000)
	assert.Equal(t, a.Usage(), callermemory.Usage{})
}

// Guards against memory that is given back twice or never.
func TestAccountIsEmptyAfterRandomUse(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	config := callermemory.DefaultConfig(memory, 800)
	a := callermemory.New(config)
	held := make(map[callermemory.ID]int64)
	now := startTime
	for range 50_000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		id := callermemory.ID(rng.IntN(400) + 1)
		switch _, open := held[id]; {
		case !open:
			if admitted, _ := a.Open(now, id, string(rune('a'+id%5))); admitted {
				held[id] = 0
			}
		case rng.IntN(20) == 0:
			if rng.IntN(2) == 0 {
				a.End(id)
				a.Release(id, held[id])
			} else {
				a.Release(id, held[id])
				a.End(id)
			}
			delete(held, id)
		default:
			a.SetPhase(now, id, callermemory.Phase(rng.IntN(5)))
			a.Received(now, id, rng.IntN(3000), 0)
			part := int64(rng.IntN(600 * kilobyte))
			if reserved, _ := a.Reserve(now, id, part, held[id]+part); reserved {
				held[id] += part
			}
		}
		a.Expired(now)
		usage := a.Usage()
		assert.Assert(t, usage.BodyBytes >= 0 && usage.ConnectionBytes >= 0 && usage.BodyBytes <= config.BodyBytes, "%+v", usage)
	}
	for id, bytes := range held {
		a.Release(id, bytes)
		a.End(id)
	}
	assert.Equal(t, a.Usage(), callermemory.Usage{})
}

// Load: a full account of connections that wait for requests, and bodies that find no
// room although nobody is stalled. Guards against a new connection that is closed unread
// then, where one that waits could be evicted.
func TestBodiesWithoutRoomDoNotKeepConnectionsOut(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 800)
	a := callermemory.New(config)
	for id := range callermemory.ID(config.MaxConnections) {
		admitted, _ := a.Open(startTime, id+1, "balancer")
		assert.Assert(t, admitted)
	}
	now := startTime.Add(2 * time.Second)
	for id := callermemory.ID(1); id <= 8; id++ {
		assert.Assert(t, a.SetPhase(now, id, callermemory.Body))
	}
	held := int64(0)
	for ; held < config.BodyBytes; held += 4 << 20 {
		if reserved, _ := a.Reserve(now, 1+callermemory.ID(held>>22), 4<<20, 4<<20); !reserved {
			break
		}
	}
	reserved, closed := a.Reserve(now, 8, 4<<20, 4<<20)
	assert.Assert(t, !reserved && len(closed) == 0)
	admitted, closed := a.Open(now, 1000, "ordinary")
	assert.Assert(t, admitted && len(closed) > 0)
}

// Load: three quarters of the connections that fit are kept and wait for a request, as
// with a load balancer in calm. Guards against a body and an answer that are given up
// after a pause within the idle timeout, although all of the others could be evicted.
func TestKeptConnectionsDoNotHurrySlowCallers(t *testing.T) {
	config := callermemory.DefaultConfig(184<<20, 4100)
	a := callermemory.New(config)
	for id := range callermemory.ID(config.MaxConnections * 3 / 4) {
		now := startTime.Add(time.Duration(id) * time.Millisecond)
		admitted, _ := a.Open(now, id+1, "balancer")
		assert.Assert(t, admitted, "%d", id)
		assert.Assert(t, a.SetPhase(now, id+1, callermemory.Serving))
		assert.Assert(t, a.SetPhase(now, id+1, callermemory.Idle))
	}
	now := startTime.Add(5 * time.Second)
	assert.Assert(t, a.SetPhase(now, 1, callermemory.Body))
	assert.Assert(t, a.SetPhase(now, 2, callermemory.Serving))
	a.BeginWrite(now, 2)
	assert.Equal(t, len(a.Expired(now.Add(14*time.Second))), 0)
	assert.Equal(t, len(a.Expired(now.Add(17*time.Second))), 2)
}

// Load: bodies of 1 MB that stop short of their end and are given up for the next ones,
// at a VM so busy that none of their memory is released meanwhile. Guards against bodies
// that together hold much more than their bound.
func TestBodiesThatAreGivenUpHoldMemoryUntilReleased(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 0)
	a := callermemory.New(config)
	held, id := int64(0), callermemory.ID(0)
	for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
		id++
		if openBody(t, a, startTime.Add(at), id, "much", 1<<20) {
			held += 1 << 20
		}
	}
	assert.Assert(t, held >= config.BodyBytes/2 && held <= config.BodyBytes*9/8, "%d MB held, %d MB may be", held>>20, config.BodyBytes>>20)
	now := startTime.Add(6 * time.Second)
	for i := range id {
		a.Release(i+1, 1<<20)
		a.End(i + 1)
	}
	// Parts of bodies that were refused are released by their connections' ends here.
	assert.Assert(t, openBody(t, a, now, id+1, "ordinary", 1<<20))
}

// Guards against refused bodies that are read on while other callers need the room: a
// connection whose input is dropped is evicted although bytes have just arrived, and less
// is dropped the fewer connections are free.
func TestDiscardedInputGivesWay(t *testing.T) {
	a := callermemory.New(callermemory.DefaultConfig(memory, 800))
	id := callermemory.ID(1)
	for ; ; id++ {
		admitted, closed := a.Open(startTime, id, "address")
		if !admitted {
			break
		}
		assert.Equal(t, len(closed), 0)
		assert.Assert(t, a.SetPhase(startTime, id, callermemory.Discarding))
		a.Received(startTime, id, kilobyte, 0)
		if id == 100 {
			assert.Equal(t, a.DiscardShare(), 1.0)
		}
		if id == 225 {
			share := a.DiscardShare()
			assert.Assert(t, share > 0.4 && share < 0.6, "share %v", share)
		}
		if id == 300 {
			assert.Equal(t, a.DiscardShare(), 0.0)
			break
		}
	}
	admitted, closed := a.Open(startTime, 1000, "ordinary")
	assert.Assert(t, admitted)
	assert.Assert(t, len(closed) > 0)
	for _, c := range closed {
		assert.Equal(t, c.Phase, callermemory.Discarding)
		assert.Equal(t, c.Reason, callermemory.NoRoom)
		assert.Assert(t, !a.SetPhase(startTime, c.ID, callermemory.Serving), "its connection would be used again")
	}
}

// Guards against a head that arrives byte by byte for longer than the configuration allows
// while nothing else goes on, and against one that is closed although it is in time: the
// time begins with the first byte, and a connection between two requests may wait.
func TestSlowHeadIsClosedInCalm(t *testing.T) {
	a := callermemory.New(callermemory.DefaultConfig(memory, 800))
	a.SetHeadTimeout(3 * time.Second)
	admitted, _ := a.Open(startTime, 1, "address")
	assert.Assert(t, admitted)
	now := startTime.Add(10 * time.Second)
	assert.Equal(t, len(a.Expired(now)), 0)
	for range 30 {
		a.Received(now, 1, 1, 0)
		assert.Equal(t, len(a.Expired(now)), 0)
		now = now.Add(100 * time.Millisecond)
	}
	closed := a.Expired(now.Add(100 * time.Millisecond))
	assert.Equal(t, len(closed), 1)
	assert.Equal(t, closed[0].Phase, callermemory.Head)
	assert.Equal(t, closed[0].Reason, callermemory.SlowHead)
}

// Guards against garbage that lets the process outgrow the VM: while its measured memory is
// near that of the VM, large bodies do not grow and no connection is added, but small
// bodies of connections that are open still arrive.
func TestMeasuredMemoryStopsGrowth(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 0)
	a := callermemory.New(config)
	admitted, _ := a.Open(startTime, 1, "address")
	assert.Assert(t, admitted)
	reserved, _ := a.Reserve(startTime, 1, config.MemoryBytes/4, 100*kilobyte)
	assert.Assert(t, reserved)
	a.SetProcessMemory(memory * 3 / 4)
	admitted, closed := a.Open(startTime, 2, "address")
	assert.Assert(t, !admitted && len(closed) == 0)
	reserved, _ = a.Reserve(startTime, 1, 64*kilobyte, 500*kilobyte)
	assert.Assert(t, !reserved, "a large body grows")
	reserved, _ = a.Reserve(startTime, 1, 64*kilobyte, 100*kilobyte)
	assert.Assert(t, reserved, "a small body does not arrive")
	a.SetProcessMemory(memory / 2)
	admitted, _ = a.Open(startTime, 2, "address")
	assert.Assert(t, admitted)
	reserved, _ = a.Reserve(startTime, 1, 64*kilobyte, 500*kilobyte)
	assert.Assert(t, reserved)
}

// Guards against a VM that turns all callers away because its own state, such as that of a
// relay in a large fleet, takes most of its memory.
func TestMemoryOfTheVMsOwnStateTurnsNoCallerAway(t *testing.T) {
	a := callermemory.New(callermemory.DefaultConfig(memory, 0))
	a.SetProcessMemory(memory * 9 / 10)
	admitted, _ := a.Open(startTime, 1, "address")
	assert.Assert(t, admitted)
	reserved, _ := a.Reserve(startTime, 1, 64*kilobyte, 500*kilobyte)
	assert.Assert(t, reserved)
}

// slowCrowd fills an account with bodies of one customer from one address, each of which
// grows by 1,200 bytes every 800 ms.
func slowCrowd(t *testing.T, a *callermemory.Account, count int) (grow func(now time.Time)) {
	t.Helper()
	openIdle(t, a, count, "address crowd")
	for id := range count {
		a.SetPhase(startTime, callermemory.ID(id+1), callermemory.Body)
		a.SetSender(callermemory.ID(id+1), "customer crowd")
	}
	return func(now time.Time) {
		for id := range count {
			a.Received(now, callermemory.ID(id+1), 1200, 0)
			a.Reserve(now, callermemory.ID(id+1), 1200, 200*kilobyte)
		}
	}
}

// Load: as many slow bodies as there are places, none of which pauses for long, and ten
// ordinary callers that connect four times a second. Guards against a VM that is ready and
// takes no new connection, and against ordinary callers that give way for one another.
func TestSlowBodiesGiveWayToNewConnections(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 800)
	a := callermemory.New(config)
	grow := slowCrowd(t, a, config.MaxConnections)
	id := callermemory.ID(10_000)
	for step := range 200 {
		now := startTime.Add(time.Duration(step) * 100 * time.Millisecond)
		if step%8 == 0 {
			grow(now)
		}
		assert.Equal(t, len(a.Expired(now)), 0)
		if step < 12 || step%5 != 0 {
			continue
		}
		for range 5 {
			id++
			admitted, closed := a.Open(now, id, "address ordinary")
			assert.Assert(t, admitted, "step %d", step)
			assert.Assert(t, len(closed) <= 1, "%d closed for one connection", len(closed))
			for _, c := range closed {
				assert.Equal(t, c.Sender, "customer crowd")
				assert.Equal(t, c.Phase, callermemory.Body)
				a.End(c.ID)
			}
			a.SetPhase(now, id, callermemory.Serving)
		}
		for served := id - 4; served <= id; served++ {
			a.End(served)
		}
		assert.Assert(t, a.Usage().Connections <= config.MaxConnections)
	}
}

// Load: as many slow bodies as there are places, and more connections of their senders.
// Guards against senders that take each other's places without end, and against one that
// can get none at all.
func TestSlowBodiesGiveWayToTheirOwnSendersSeldom(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 800)
	a := callermemory.New(config)
	grow := slowCrowd(t, a, config.MaxConnections)
	id, admissions := callermemory.ID(10_000), 0
	var slow []callermemory.ID
	for step := range 1000 {
		now := startTime.Add(time.Duration(step) * 10 * time.Millisecond)
		if step%80 == 0 {
			grow(now)
		}
		for range 5 {
			id++
			admitted, closed := a.Open(now, id, "address crowd")
			for _, c := range closed {
				a.End(c.ID)
			}
			if admitted {
				admissions++
				a.SetPhase(now, id, callermemory.Body)
				slow = append(slow, id)
			}
		}
		if step%80 == 0 {
			for _, id := range slow {
				a.Received(now, id, 1200, 0)
			}
		}
	}
	assert.Assert(t, admissions > 50 && admissions < 500, "%d admissions in 10 s", admissions)
}

// Guards against a body that is given up although there are places.
func TestSlowBodiesKeepTheirPlacesInCalm(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 800)
	a := callermemory.New(config)
	grow := slowCrowd(t, a, config.MaxConnections/2)
	for step := range 100 {
		now := startTime.Add(time.Duration(step) * 800 * time.Millisecond)
		grow(now)
		admitted, closed := a.Open(now, callermemory.ID(10_000+step), "address ordinary")
		assert.Assert(t, admitted && len(closed) == 0 && len(a.Expired(now)) == 0)
		a.End(callermemory.ID(10_000 + step))
	}
}

// Load: 400 connections that send heads of 16 KB with 2,600 lines, and ordinary callers.
// Guards against heads that hold many times the memory that is counted for them, and
// against ordinary heads that are turned away with them.
func TestHeadsOfManyLinesAreBounded(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 2000)
	a := callermemory.New(config)
	const crowd, pieces, ordinary = 400, 4, 1000
	kept := 0
	for id := range callermemory.ID(5) {
		admitted, _ := a.Open(startTime, ordinary+id, "ordinary")
		assert.Assert(t, admitted)
	}
	openIdle(t, a, crowd, "crowd")
	for id := range callermemory.ID(crowd) {
		whole := true
		for range pieces {
			received, closed := a.Received(startTime, id+1, 4000, 650)
			assert.Equal(t, received, len(closed) == 0)
			if whole = whole && received; !whole {
				assert.Equal(t, closed[0].ID, id+1)
				a.End(id + 1)
				break
			}
		}
		if whole {
			kept++
			assert.Assert(t, a.SetPhase(startTime, id+1, callermemory.Serving))
		}
	}
	const headBytes = 700 * kilobyte
	assert.Assert(t, kept > 0 && int64(kept) <= config.ConnectionBytes/headBytes, "%d heads are held", kept)
	assert.Assert(t, a.Usage().ConnectionBytes <= config.ConnectionBytes)
	// Ordinary connections that are open already are not turned away.
	for id := range callermemory.ID(5) {
		received, closed := a.Received(startTime, ordinary+id, 1000, 15)
		assert.Assert(t, received && len(closed) == 0)
	}
}

// Guards against long heads that are parsed although the process holds most of its memory:
// on a busy machine, what earlier ones left as garbage is collected late.
func TestMeasuredMemoryStopsLongHeads(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 2000)
	a := callermemory.New(config)
	openIdle(t, a, 250, "crowd")
	received, _ := a.Received(startTime, 1, 4000, 650)
	assert.Assert(t, received)
	a.SetProcessMemory(config.ProcessBytes)
	received, closed := a.Received(startTime, 1, 4000, 650)
	assert.Assert(t, !received && len(closed) == 1 && closed[0].ID == 1, "%v", closed)
	received, _ = a.Received(startTime, 2, 1000, 15)
	assert.Assert(t, received, "an ordinary head is closed")
}

// Guards against heads that are not counted since their connections were to be closed while
// they were idle, and were not closed in time.
func TestHeadOnAConnectionThatGivesWayIsCounted(t *testing.T) {
	config := callermemory.DefaultConfig(memory, 800)
	a := callermemory.New(config)
	openIdle(t, a, config.MaxConnections, "crowd")
	now := startTime.Add(1100 * time.Millisecond)
	_, closed := a.Open(now, 1000, "ordinary")
	assert.Assert(t, len(closed) > 0)
	before := a.Usage().ConnectionBytes
	received, _ := a.Received(now, closed[0].ID, 4000, 650)
	assert.Assert(t, received)
	added := a.Usage().ConnectionBytes - before
	assert.Assert(t, added >= 650*config.LineCharge, "%d bytes", added)
	assert.Assert(t, a.SetPhase(now, closed[0].ID, callermemory.Serving))
	a.End(closed[0].ID)
	assert.Equal(t, a.Usage().ConnectionBytes, before)
}
