// Command protogen regenerates the Go code of the caller API without protoc. It
// must run in the root of the repository.
//
// It compiles the proto files with protocompile and passes the descriptors to
// the protoc plugins, whose versions go.mod pins as tools.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/pluginpb"
)

const (
	protoRoot  = "proto"
	protoFile  = "wagtailspoke/v1/inference.proto"
	modulePath = "github.com/wagtailspoke/wagtailspoke"
	// fileMode and dirMode are the permissions of generated source files and
	// their directories.
	fileMode = 0o644
	dirMode  = 0o755
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{protoRoot}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(ctx, protoFile)
	if err != nil {
		return fmt.Errorf("compile %s: %w", protoFile, err)
	}
	parameter := "module=" + modulePath
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{protoFile},
		Parameter:      &parameter,
	}
	for _, file := range files {
		request.ProtoFile = append(request.ProtoFile, protodesc.ToFileDescriptorProto(file))
	}
	for _, plugin := range []string{"protoc-gen-go", "protoc-gen-connect-go"} {
		if err := generate(ctx, plugin, request); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// generate runs one plugin with "go tool" and writes the files that it returns.
func generate(ctx context.Context, plugin string, request *pluginpb.CodeGeneratorRequest) error {
	input, err := proto.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	var output bytes.Buffer
	command := exec.CommandContext(ctx, "go", "tool", plugin)
	command.Stdin = bytes.NewReader(input)
	command.Stdout = &output
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output.Bytes(), response); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if message := response.GetError(); message != "" {
		return fmt.Errorf("plugin reported: %s", message)
	}
	for _, file := range response.GetFile() {
		if err := os.MkdirAll(filepath.Dir(file.GetName()), dirMode); err != nil {
			return err
		}
		if err := os.WriteFile(file.GetName(), []byte(file.GetContent()), fileMode); err != nil {
			return err
		}
	}
	return nil
}
