package node

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/quarantine"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/endpoints"
)

const (
	// leafQuarantineSettle replaces quarantine.Config.SettleTime at leaves, which
	// learn later than relays what other VMs have cleared.
	leafQuarantineSettle = time.Second
	// crashCheckTimeout bounds the check whether an engine's process has ended,
	// for which a request waits before it is sent to another engine.
	crashCheckTimeout = 200 * time.Millisecond
)

// checkQuarantine returns a refusal if a part of the request's prompt is blamed
// for crashes of engines. It is called at admission and again before each send.
func (n *Node) checkQuarantine(p *requestState) *refusal {
	if p.quarantineTrial || p.request.Service.Engine == nil {
		return nil
	}
	n.quarantineMu.Lock()
	decision := n.quarantine.Decide(n.bootTime(), p.request.SharedParts, n.isTrialVM)
	n.quarantineMu.Unlock()
	if decision.Refuse {
		n.metrics.quarantineRefusals.Inc(1)
		return refuseBusy(decision.RetryAfter, "the prompt holds parts that crash engines")
	}
	if decision.Blame != nil {
		p.quarantineTrial = true
		n.logInfo("trying quarantined prompt parts", fields{"request": p.request.ID, "parts": decision.Blame.Parts, "crashes": decision.Blame.Crashes})
	}
	return nil
}

// isTrialVM reports whether this VM is the one of the live VMs that tries a
// blamed part after its hold.
func (n *Node) isTrialVM(part ids.PromptPartID) bool {
	n.membersMu.Lock()
	alive := n.fleet.Alive(time.Now())
	n.membersMu.Unlock()
	own := membership.Score(string(part), n.settings.Self())
	for _, m := range alive {
		if !m.Leaving && membership.Score(string(part), m.ID) > own {
			return false
		}
	}
	return true
}

// recordGoodStart records that the answer to a request has begun.
func (n *Node) recordGoodStart(p *requestState) {
	if len(p.request.SharedParts) == 0 {
		return
	}
	n.quarantineMu.Lock()
	defer n.quarantineMu.Unlock()
	n.quarantine.RecordStart(n.bootTime(), p.request.SharedParts)
}

// examineBrokenSend reports whether an engine's process has ended under a request
// whose answer had not begun, and records the crash. A connection that was lost
// on the way looks the same to the request, but only a process that has ended
// refuses connections.
func (n *Node) examineBrokenSend(p *requestState, e *serving.Endpoint, sent time.Time, reason string) bool {
	if len(p.request.SharedParts) == 0 {
		return false
	}
	refuses, err := n.refusesConnections(e)
	n.logInfo("engine answered nothing", fields{
		"request": p.request.ID, "endpoint": e.ID, "parts": p.request.SharedParts, "sentMs": time.Since(sent).Milliseconds(),
		"runs": p.possibleRuns, "reason": reason, "refuses": refuses, "error": errorText(err),
	})
	if !refuses {
		return false
	}
	n.metrics.engineCrashes.Inc(1)
	n.quarantineMu.Lock()
	n.quarantine.RecordCrash(n.bootTime(), crashID(e), p.request.SharedParts)
	n.quarantineMu.Unlock()
	n.tellAllRelays()
	return true
}

// crashID identifies the crash of an endpoint's current process.
func crashID(e *serving.Endpoint) quarantine.CrashID {
	return quarantine.CrashID(string(e.ID) + "/" + strconv.FormatInt(e.Started, 10))
}

// refusesConnections is endpoints.Refuses. Concurrent calls for one endpoint
// share a connection.
func (n *Node) refusesConnections(e *serving.Endpoint) (bool, error) {
	result, err, _ := n.crashChecks.Do(string(e.ID), func() (any, error) {
		config := endpoints.DefaultConfig(n.settings.IP)
		config.DialTimeout = crashCheckTimeout
		return endpoints.Refuses(n.ctx, config, e.Address)
	})
	refuses, _ := result.(bool)
	return refuses, err
}

// mayRepeatAfterCrash reports whether a request whose engine has ended may be
// sent to another engine.
func (n *Node) mayRepeatAfterCrash(p *requestState) bool {
	n.quarantineMu.Lock()
	defer n.quarantineMu.Unlock()
	return n.quarantine.MayRepeat(p.request.SharedParts)
}

func (n *Node) buildQuarantineMessage(to ids.VMID) quarantine.Message {
	n.quarantineMu.Lock()
	defer n.quarantineMu.Unlock()
	return n.quarantine.BuildMessage(n.bootTime(), to)
}

// applyQuarantineMessage applies what a peer knows of crashes. A relay passes a
// new crash of a leaf on at once.
func (n *Node) applyQuarantineMessage(s stateMessage, leaf bool) {
	n.quarantineMu.Lock()
	newCrash := n.quarantine.ApplyMessage(n.bootTime(), s.ID, s.Boot, n.boot, s.Quarantine)
	n.quarantineMu.Unlock()
	if newCrash && leaf {
		n.tellAllRelays()
	}
}

// tellAllRelays starts a round of exchanges at once: of a relay with all others,
// also with those that would call it, and of a leaf with its relay.
func (n *Node) tellAllRelays() {
	n.exchangeWithAll.Store(true)
	n.wakeExchange.wake()
}

// maintainQuarantine forgets peers that are not known any more, and logs the
// blamed parts when they have changed.
func (n *Node) maintainQuarantine(known map[ids.VMID]string) {
	n.quarantineMu.Lock()
	n.quarantine.ForgetPeers(func(id ids.VMID) bool { _, found := known[id]; return found })
	blames := n.quarantine.Blames(n.bootTime())
	described := make([]string, len(blames))
	for i, blame := range blames {
		described[i] = fmt.Sprintf("%v: %d crashes", blame.Parts, blame.Crashes)
	}
	changed := !slices.Equal(described, n.loggedBlames)
	n.loggedBlames = described
	n.quarantineMu.Unlock()
	n.metrics.quarantinedParts.Update(float64(len(blames)))
	if changed {
		n.logInfo("quarantined prompt parts changed", fields{"blames": described})
	}
}
