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

// lossy drops, repeats and delays a part of all messages.
func lossy(seed uint64) peers.FaultInjector {
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
		{id: "a1", dataCentre: "dc-a", fault: lossy(1)}, {id: "a2", dataCentre: "dc-a", fault: lossy(2)},
	}})
	for _, version := range []uint64{1, 2} {
		for _, id := range f.order {
			request := poem("lossy")
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

// Guards against an engine that nobody can use after its owner was killed: the
// next owner must grant pins on what is resident without the long wait and
// without loading it again.
func TestOwnerIsKilled(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{vms: []vmSpec{{id: "a1", dataCentre: "dc-a"}, {id: "a2", dataCentre: "dc-a"}}})
	owner, ok := f.vms["a1"].ownerOf("engine-dc-a")
	assert.Assert(t, ok)
	survivor := map[ids.VMID]ids.VMID{"a1": "a2", "a2": "a1"}[owner]
	_, err := f.generate(owner, testKey, poem("before"))
	assert.NilError(t, err)

	f.vms[owner].Stop()
	f.platform.PutVMs([]platformapi.VM{{
		ID: survivor, DataCentre: "dc-a", PeerAddress: f.vms[survivor].PeersAddress(), State: platformapi.VMLive,
	}})
	eventually(t, "new owner", func() bool { return f.vms[survivor].table.Owns("engine-dc-a") })
	started := time.Now()
	answer, err := f.generate(survivor, testKey, poem("after"))
	assert.NilError(t, err)
	assert.Equal(t, answer.GetText(), engine.Text("poet@2", "after", 8))
	assert.Assert(t, time.Since(started) < f.vms[survivor].options.Terms.ListLagBound, "took %s", time.Since(started))
	e := f.engines["engine-dc-a"]
	assert.Equal(t, e.Counters().Loads, 1)
	assert.Equal(t, len(e.Violations()), 0, "%v", e.Violations())
}

// Guards against a key that was withdrawn while its request waited in the
// queue.
func TestQueuedRequestOfWithdrawnKeyDoesNotRun(t *testing.T) {
	for _, on := range []bool{true, false} {
		t.Run(map[bool]string{true: "rule on", false: "rule off"}[on], func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{vms: []vmSpec{{id: "a1", dataCentre: "dc-a", rules: func(r *rules) { r.keyAtDispatch = on }}}})
			vm, e := f.vms["a1"], f.engines["engine-dc-a"]
			e.SetFaults(engine.Faults{FailLoads: 1 << 20})
			ended := make(chan error, 1)
			go func() {
				_, err := f.generate("a1", testKey, poem("queued"))
				ended <- err
			}()
			eventually(t, "queued request", func() bool { return vm.Status().Requests.Queued == 1 })
			f.platform.Delete("key/ember-1")
			eventually(t, "withdrawal", f.caughtUp)
			e.SetFaults(engine.Faults{})
			err := <-ended
			if !on {
				assert.NilError(t, err, "the violation that the rule prevents")
				return
			}
			outcome := outcomeOf(t, err)
			assert.Equal(t, outcome.GetReason(), inferencev1.Reason_REASON_KEY_WITHDRAWN)
			assert.Equal(t, outcome.GetOutcome(), inferencev1.Outcome_OUTCOME_NOT_RUN)
			assert.Equal(t, len(e.Runs()), 0)
		})
	}
}

// Guards against an admin port that operators and load balancers misread.
func TestAdminPort(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{vms: []vmSpec{{id: "a1", dataCentre: "dc-a"}}})
	base := "http://" + f.vms["a1"].AdminAddress()
	get := func(path string) (int, string) {
		t.Helper()
		return f.request(http.MethodGet, base+path)
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
	code, _ = f.request(http.MethodPost, base+admin.PathDrain)
	assert.Equal(t, code, http.StatusAccepted)
	code, body = get(admin.PathReadyz)
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "draining"))
	code, _ = get(admin.PathHealthz)
	assert.Equal(t, code, http.StatusOK)
}
