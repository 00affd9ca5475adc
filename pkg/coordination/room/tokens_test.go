package room_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/room"
)

// learned returns a ledger whose requests put out all 400 tokens that they state, in
// events of the given number of tokens.
func learned(eventTokens int) (*room.Ledger, time.Time) {
	g := room.New(room.DefaultConfig(), &room.ReadingSpeed{}, room.NewShares(), room.NewKinds())
	g.SetEventSteps(eventTokens)
	now := startTime
	for i := range 20 {
		r := request(i, 1, now)
		r.PromptTokens, r.OutputTokens = int64(400+20*(i%5)), 400
		g.Admit(now, r)
		now = now.Add(ms(60 + i%5))
		g.EndPrefill(now, r.ID, true)
		events := 400 / eventTokens
		now = now.Add(ms(10 * 400))
		g.End(now, r.ID, room.Run{EndedAt: now, Complete: true, Events: events, Duration: ms(10 * 400)})
	}
	return g, now
}

// Guards against requests that are granted beyond the tokens of the cache where an event
// holds several tokens: the engine preempts streams then.
func TestEventsOfSeveralTokensCountAsSuch(t *testing.T) {
	for _, eventTokens := range []int{1, 4} {
		g, now := learned(eventTokens)
		r := request(100, 1, now)
		r.PromptTokens, r.OutputTokens = 400, 400
		g.Admit(now, r)
		tokens := g.Status(now).Tokens
		assert.Assert(t, tokens > 700 && tokens < 900, "%d tokens an event: %v", eventTokens, tokens)
	}
}

// Guards against one wrong message about an end, or one stalled stream, after which all
// requests of a service are expected to run for minutes, so that those that would wait
// are refused.
func TestOneStrangeEndDoesNotSpoilTheExpectedTimes(t *testing.T) {
	for name, ran := range map[string]time.Duration{"stalled": time.Minute, "impossible": time.Duration(1 << 62)} {
		g, now := learned(1)
		odd := request(100, 1, now)
		odd.PromptTokens, odd.OutputTokens = 400, 400
		g.Admit(now, odd)
		g.EndPrefill(now.Add(ms(60)), odd.ID, true)
		now = now.Add(time.Second)
		g.End(now, odd.ID, room.Run{EndedAt: now, Complete: true, Events: 2, Duration: ran})
		g.SetCapacity(1, 0)
		runs := request(101, 1, now)
		runs.PromptTokens, runs.OutputTokens = 400, 400
		g.Admit(now, runs)
		g.EndPrefill(now.Add(ms(60)), runs.ID, true)
		now = now.Add(3900 * time.Millisecond)
		// It ends after 4 s as all others did.
		_, estimate := g.Admit(now, request(102, 1, now))
		assert.Assert(t, estimate.Wait < time.Second, "%s: %v", name, estimate.Wait)
	}
}

// Guards against an engine that states an impossible load, and then is sent everything
// or nothing.
func TestImpossibleLoadOfAnEngineIsBounded(t *testing.T) {
	for _, load := range [][2]int{{math.MaxInt, 1}, {math.MaxInt, math.MaxInt}, {1 << 40, 0}, {math.MinInt, math.MinInt}} {
		g, now := learned(1)
		g.SetCapacity(12, 58739)
		r := request(100, 1, now)
		g.Admit(now, r)
		g.EndPrefill(now, r.ID, true)
		g.SetLoad(now, load[0], load[1])
		_, estimate := g.Admit(now, request(101, 1, now))
		assert.Assert(t, estimate.Wait >= 0 && estimate.Wait < time.Minute, "%v: %v", load, estimate.Wait)
		inUse := g.Status(now).InUse
		assert.Assert(t, inUse >= 0 && inUse <= 4*12, "%v: %d", load, inUse)
		if load[0] > 0 {
			assert.Assert(t, inUse >= 12, "%v: %d", load, inUse)
		}
	}
}

// Guards against one request that states far more output than it puts out, or than the
// engine can hold, and so keeps all others from the engine while it runs.
func TestRequestThatStatesTooMuchOutputLeavesRoom(t *testing.T) {
	for _, output := range []int64{58_739, 1 << 30} {
		g, now := learned(1)
		g.SetCapacity(12, 58_739)
		greedy := request(100, 1, now)
		greedy.PromptTokens, greedy.OutputTokens = 400, output
		decision, _ := g.Admit(now, greedy)
		assert.Equal(t, decision, room.Granted)
		g.EndPrefill(now.Add(ms(60)), greedy.ID, true)
		now = now.Add(ms(100))
		r := request(101, 1, now)
		r.PromptTokens, r.OutputTokens = 400, 400
		decision, estimate := g.Admit(now, r)
		assert.Equal(t, decision, room.Granted, "output %d: wait %v", output, estimate.Wait)
	}
}

// Guards against a prompt that is longer than the cache of the engine and, at the head of
// the queue, keeps all others waiting until its limit.
func TestPromptThatNeverFitsDoesNotBlockTheQueue(t *testing.T) {
	g, now := learned(1)
	g.SetCapacity(12, 58_739)
	g.Admit(now, request(100, 1, now))
	g.EndPrefill(now.Add(ms(60)), "100", true)
	now = now.Add(ms(100))
	endless := request(101, 0, now)
	endless.PromptTokens, endless.StartDeadline, endless.FirstTokenDue = 60_000, now.Add(time.Hour), now.Add(time.Hour)
	decision, estimate := g.Admit(now, endless)
	assert.Equal(t, decision, room.Refused)
	assert.Assert(t, estimate.Wait > 0)
	decision, _ = g.Admit(now, request(102, 1, now))
	assert.Equal(t, decision, room.Granted)
	// An idle engine may say itself what is wrong with it.
	g.EndPrefill(now, "100", false)
	g.EndPrefill(now, "102", false)
	decision, _ = g.Admit(now, endless)
	assert.Equal(t, decision, room.Granted)
}

// Guards against one request without a limit of its output that, before the output of any
// request is known, keeps all others from its engine: while it runs, and later by what the
// engine's other requests are taken to hold.
func TestRequestWithoutOutputLimitLeavesRoomAtAnEngineOfUnknownOutput(t *testing.T) {
	g := room.New(room.DefaultConfig(), &room.ReadingSpeed{}, room.NewShares(), room.NewKinds())
	g.SetCapacity(12, 58_739)
	now := startTime
	greedy := request(100, 1, now)
	greedy.PromptTokens, greedy.OutputTokens = 400, 1<<30
	decision, _ := g.Admit(now, greedy)
	assert.Equal(t, decision, room.Granted)
	g.EndPrefill(now.Add(ms(60)), greedy.ID, true)
	now = now.Add(ms(100))
	ordinary := request(101, 1, now)
	ordinary.PromptTokens, ordinary.OutputTokens = 400, 400
	decision, estimate := g.Admit(now, ordinary)
	assert.Equal(t, decision, room.Granted, "beside the request: wait %v", estimate.Wait)
	g.EndPrefill(now.Add(ms(60)), ordinary.ID, true)
	now = now.Add(ms(1000))
	for _, ended := range []room.Request{greedy, ordinary} {
		g.End(now, ended.ID, room.Run{EndedAt: now})
	}
	// The engine has two requests that the ledger does not know.
	g.SetLoad(now, 2, 0)
	now = now.Add(ms(10))
	late := request(102, 1, now)
	late.PromptTokens, late.OutputTokens = 400, 400
	decision, estimate = g.Admit(now, late)
	assert.Equal(t, decision, room.Granted, "after the request: wait %v", estimate.Wait)
}
