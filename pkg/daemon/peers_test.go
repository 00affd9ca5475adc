package daemon

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// lossyFault drops, repeats and delays a part of all messages.
func lossyFault(seed uint64) peers.FaultInjector {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	return func(peers.Message) peers.FaultAction {
		mu.Lock()
		defer mu.Unlock()
		switch random.IntN(10) {
		case 0, 1:
			return peers.FaultAction{Drop: true}
		case 2:
			return peers.FaultAction{ExtraCopies: 1}
		case 3:
			return peers.FaultAction{Delay: 20 * time.Millisecond}
		}
		return peers.FaultAction{}
	}
}

// Guards against messages between VMs that must arrive exactly once, and
// against requests that only the owner of an engine can serve.
func TestServesWithLossyPeers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{vms: []vmSpec{
		{id: "a1", dataCentre: "dc-a", fault: lossyFault(1)}, {id: "a2", dataCentre: "dc-a", fault: lossyFault(2)},
	}})
	for _, version := range []uint64{1, 2} {
		for _, id := range f.vmIDs {
			request := poemRequest("lossy")
			request.Version = version
			answer, err := f.generate(id, testKey, request)
			assert.NilError(t, err)
			assert.Equal(t, answer.GetVersion(), version)
		}
	}
	for _, e := range f.engines {
		assert.Equal(t, len(e.Violations()), 0, "%v", e.Violations())
		assert.Equal(t, e.Counters().Loads, 2, "each version is loaded once")
	}
}

// Guards against an engine that cannot be used after its owner was killed:
// the next owner must grant pins on resident adapters without waiting for
// ListLagBound and without loading them again.
func TestServesAfterOwnerIsKilled(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{vms: []vmSpec{{id: "a1", dataCentre: "dc-a"}, {id: "a2", dataCentre: "dc-a"}}})
	owner, ok := f.vms["a1"].ownerOf("engine-dc-a")
	assert.Assert(t, ok)
	survivor := map[ids.VMID]ids.VMID{"a1": "a2", "a2": "a1"}[owner]
	_, err := f.generate(owner, testKey, poemRequest("before"))
	assert.NilError(t, err)

	f.vms[owner].Stop()
	f.platform.PutVMs([]platformapi.VM{{
		ID: survivor, DataCentre: "dc-a", PeerAddress: f.vms[survivor].PeersAddress(), State: platformapi.VMLive,
	}})
	eventually(t, "new owner", func() bool { return f.vms[survivor].ownershipTable.Owns("engine-dc-a") })
	started := time.Now()
	answer, err := f.generate(survivor, testKey, poemRequest("after"))
	assert.NilError(t, err)
	assert.Equal(t, answer.GetText(), engine.GeneratedText("poet@2", "after", 8))
	assert.Assert(t, time.Since(started) < f.vms[survivor].options.Terms.ListLagBound, "took %s", time.Since(started))
	e := f.engines["engine-dc-a"]
	assert.Equal(t, e.Counters().Loads, 1)
	assert.Equal(t, len(e.Violations()), 0, "%v", e.Violations())
}

// Guards against sending a queued request whose key was withdrawn while it
// waited.
func TestQueuedRequestOfWithdrawnKeyDoesNotRun(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		t.Run(map[bool]string{true: "rule on", false: "rule off"}[enabled], func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{vms: []vmSpec{{id: "a1", dataCentre: "dc-a", setRules: func(r *safetyRules) { r.recheckKeyAtDispatch = enabled }}}})
			vm, e := f.vms["a1"], f.engines["engine-dc-a"]
			e.SetFaults(engine.Faults{FailLoads: 1 << 20})
			ended := make(chan error, 1)
			go func() {
				_, err := f.generate("a1", testKey, poemRequest("queued"))
				ended <- err
			}()
			eventually(t, "queued request", func() bool { return vm.Status().Requests.Queued == 1 })
			f.platform.Delete("key/ember-1")
			eventually(t, "withdrawal", f.allCaughtUp)
			e.SetFaults(engine.Faults{})
			err := <-ended
			if !enabled {
				assert.NilError(t, err, "without the rule the violation must occur")
				return
			}
			outcome := outcomeOf(t, err)
			assert.Equal(t, outcome.GetReason(), inferencev1.Reason_REASON_KEY_WITHDRAWN)
			assert.Equal(t, outcome.GetOutcome(), inferencev1.Outcome_OUTCOME_NOT_RUN)
			assert.Equal(t, len(e.Runs()), 0)
		})
	}
}

// Guards against answers of the admin port that mislead operators and load
// balancers, in particular about readiness during a drain.
func TestAdminPort(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{vms: []vmSpec{{id: "a1", dataCentre: "dc-a"}}})
	base := "http://" + f.vms["a1"].AdminAddress()
	get := func(path string) (int, string) {
		t.Helper()
		return f.requestStatus(http.MethodGet, base+path)
	}
	code, _ := get(admin.PathReadyz)
	assert.Equal(t, code, http.StatusOK)
	_, body := get(admin.PathStatus)
	var status admin.Status
	assert.NilError(t, json.Unmarshal([]byte(body), &status))
	assert.Equal(t, status.VM, ids.VMID("a1"))
	assert.Assert(t, !strings.Contains(body, testKey))
	eventually(t, "gauges", func() bool {
		_, body = get(admin.PathMetrics)
		return strings.Contains(body, "wagtailspoke_view_age_seconds")
	})
	code, _ = f.requestStatus(http.MethodPost, base+admin.PathDrain)
	assert.Equal(t, code, http.StatusAccepted)
	code, body = get(admin.PathReadyz)
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "draining"))
	code, _ = get(admin.PathHealthz)
	assert.Equal(t, code, http.StatusOK)
}
