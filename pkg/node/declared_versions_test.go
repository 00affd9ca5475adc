package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Guards against a version that stays in use because newer ones are declared in series.
func TestVersionsInSeriesDoNotExtendTheGraceOfOlderOnes(t *testing.T) {
	const grace = 2 * time.Second
	key := serving.AdapterKey{Model: "base", Adapter: "a1"}
	start := time.Unix(0, 0)
	at := func(after time.Duration) time.Time { return start.Add(after) }
	declared := newDeclaredVersions(grace)
	for i := range 8 {
		declared.update(at(time.Duration(i)*1500*time.Millisecond), map[serving.AdapterKey]ids.AdapterVersion{key: ids.AdapterVersion(i + 2)})
	}
	for _, step := range []struct {
		after time.Duration
		want  ids.AdapterVersion
	}{
		{10500 * time.Millisecond, 7},
		{10999 * time.Millisecond, 7},
		{11 * time.Second, 8},
		{12499 * time.Millisecond, 8},
		{12500 * time.Millisecond, 9},
		{time.Hour, 9},
	} {
		assert.Equal(t, declared.minVersion(at(step.after), key), step.want, "%v after the first declaration", step.after)
	}
	assert.Equal(t, declared.newest(key), ids.AdapterVersion(9))
}

// Guards against a version that is required before its grace period is over, or not
// required after it, at random times of declarations.
func TestVersionIsRequiredOnceItsGraceIsOver(t *testing.T) {
	const grace = 2 * time.Second
	key := serving.AdapterKey{Model: "base", Adapter: "a1"}
	random := rand.New(rand.NewPCG(1, 60))
	for range 200 {
		declared := newDeclaredVersions(grace)
		now, version := time.Unix(0, 0), ids.AdapterVersion(1)
		var want ids.AdapterVersion
		type declaration struct {
			version ids.AdapterVersion
			at      time.Time
		}
		var declarations []declaration
		for range 30 {
			now = now.Add(time.Duration(random.Int64N(int64(2 * time.Second))))
			if random.IntN(3) > 0 {
				version += ids.AdapterVersion(1 + random.IntN(3))
				declared.update(now, map[serving.AdapterKey]ids.AdapterVersion{key: version})
				declarations = append(declarations, declaration{version, now})
			}
			for _, d := range declarations {
				if now.Sub(d.at) >= grace {
					want = d.version
				}
			}
			assert.Equal(t, declared.minVersion(now, key), want)
		}
	}
}

// Guards against memory that grows with the declarations of one adapter, and against a
// version that is used beyond its grace period because of their number.
func TestDeclarationsInSeriesAreBounded(t *testing.T) {
	const grace = 2 * time.Second
	key := serving.AdapterKey{Model: "base", Adapter: "a1"}
	declared := newDeclaredVersions(grace)
	start := time.Unix(0, 0)
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		declared.update(now, map[serving.AdapterKey]ids.AdapterVersion{key: ids.AdapterVersion(i + 1)})
		assert.Assert(t, len(declared.adapters[key].inGrace) <= maxGraceVersions)
		if overdue := i - int(grace.Milliseconds()); overdue >= 0 {
			minVersion := declared.minVersion(now, key)
			assert.Assert(t, minVersion >= ids.AdapterVersion(overdue+1), "version %d is required after %d ms", minVersion, i)
		}
	}
	assert.Equal(t, declared.newest(key), ids.AdapterVersion(10_000))
}
