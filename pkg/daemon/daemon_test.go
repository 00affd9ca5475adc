package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

func poem(prompt string) *inferencev1.GenerateRequest {
	return &inferencev1.GenerateRequest{Adapter: "poet", Prompt: prompt, MaxTokens: 8}
}

// Guards against requests that do not get from a caller to an engine and
// back, over two data centres.
func TestGenerateAcrossDataCentres(t *testing.T) {
	f := startFleet(t, fleetSpec{vms: []vmSpec{{id: "a1", dataCentre: "dc-a"}, {id: "b1", dataCentre: "dc-b"}}})
	for _, id := range f.order {
		answer, err := f.generate(id, testKey, poem("hello "+string(id)))
		assert.NilError(t, err)
		assert.Equal(t, answer.GetVersion(), uint64(2))
		assert.Equal(t, answer.GetText(), engine.Text("poet@2", "hello "+string(id), 8))
		assert.Equal(t, answer.GetUsage().GetCompletionTokens(), uint32(8))
	}
}
