package prompts_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/prompts"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func request(i int, urgency int, arrived time.Time) prompts.Request {
	return prompts.Request{ID: ids.RequestID(fmt.Sprint(i)), Urgency: urgency, Arrived: arrived, OnTime: arrived.Add(ms(800)), Limit: arrived.Add(ms(1000))}
}

// Guards against streams that pause since many VMs send prompts to one engine
// at the same moment: a burst of a popular adapter.
func TestBurstIsReadAFewPromptsAtATime(t *testing.T) {
	g := prompts.New(prompts.DefaultConfig())
	reading := 0
	for i := range 6 {
		if decision, _ := g.Ask(start, request(i, 1, start)); decision == prompts.Granted {
			reading++
		}
	}
	assert.Equal(t, reading, 2)
	g.Done(start.Add(ms(80)), "0", true)
	granted, refused := g.Next(start.Add(ms(80)))
	assert.DeepEqual(t, granted, []ids.RequestID{"2"})
	assert.Equal(t, len(refused), 0)
	decision, _ := g.Ask(start.Add(ms(81)), request(2, 1, start))
	assert.Equal(t, decision, prompts.Granted)
}

// Guards against urgent requests that wait behind less urgent ones, and against
// late ones that make those behind them late too.
func TestUrgentRequestsBeginFirstAndLateOnesLast(t *testing.T) {
	g := prompts.New(prompts.DefaultConfig())
	g.Ask(start, request(0, 1, start))
	g.Ask(start, request(1, 1, start))
	late := request(2, 0, start)
	late.OnTime = start.Add(ms(50))
	g.Ask(start, late)
	g.Ask(start, request(3, 2, start))
	g.Ask(start, request(4, 1, start.Add(ms(1))))
	var order []ids.RequestID
	for i := range 3 {
		now := start.Add(ms(60 + 40*i))
		g.Done(now, ids.RequestID(fmt.Sprint([]int{0, 1, 4}[i])), true)
		granted, _ := g.Next(now)
		order = append(order, granted...)
	}
	assert.DeepEqual(t, order, []ids.RequestID{"4", "3", "2"})
}

// Guards against requests that wait for an engine that cannot begin them in
// time, and against a refusal without the time to come back.
func TestRequestThatCannotBeginInTimeIsRefusedAtOnce(t *testing.T) {
	g := prompts.New(prompts.DefaultConfig())
	refused := 0
	for i := range 40 {
		decision, wait := g.Ask(start, request(i, 1, start.Add(time.Duration(i)*time.Microsecond)))
		if decision == prompts.Refused {
			refused++
			assert.Assert(t, wait > 800*time.Millisecond, "wait %v", wait)
		}
	}
	assert.Assert(t, refused > 20, "%d refused", refused)
}

// Guards against an engine that gets no more requests after the VMs died that
// had requests there, or whose word of the first token was lost.
func TestLostRequestsDoNotBlockTheGate(t *testing.T) {
	g := prompts.New(prompts.DefaultConfig())
	for i := range 4 {
		g.Ask(start, request(i, 1, start))
	}
	later := start.Add(2 * time.Second)
	decision, _ := g.Ask(later, request(9, 1, later))
	assert.Equal(t, decision, prompts.Granted)
	waiting, _ := g.Waiting()
	assert.Equal(t, waiting, 0)
}

// Guards against a request that stands in the queues of several engines.
func TestQuestionDoesNotQueue(t *testing.T) {
	g := prompts.New(prompts.DefaultConfig())
	g.Ask(start, request(0, 1, start))
	g.Ask(start, request(1, 1, start))
	question := request(2, 1, start)
	question.Now = true
	decision, wait := g.Ask(start, question)
	assert.Equal(t, decision, prompts.Queued)
	assert.Assert(t, wait > 0)
	waiting, _ := g.Waiting()
	assert.Equal(t, waiting, 0)
}
