package inferencev1_test

import (
	"testing"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// Guards against a change of the proto file without regenerated Go code. It
// compares descriptors, so that no generator needs to run.
func TestGeneratedCodeMatchesProtoFile(t *testing.T) {
	const path = "wagtailspoke/v1/inference.proto"
	compiler := protocompile.Compiler{
		Resolver: protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{"../../../proto"}}),
	}
	files, err := compiler.Compile(t.Context(), path)
	assert.NilError(t, err)
	source := protodesc.ToFileDescriptorProto(files.FindFileByPath(path))
	generated := protodesc.ToFileDescriptorProto(inferencev1.File_wagtailspoke_v1_inference_proto)
	assert.Assert(t, proto.Equal(source, generated), "run make generate")
}
