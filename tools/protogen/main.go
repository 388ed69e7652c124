// Command protogen compiles .proto files with protocompile and writes the Go
// code that protoc-gen-go generates for them, so that no protoc binary is needed.
//
// Usage: protogen DIR FILE...
//
// The files, and the generated code, are in DIR.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: protogen DIR FILE...")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func generate(dir string, files []string) error {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return fmt.Errorf("compile: %w", err)
	}
	var descriptors []*descriptorpb.FileDescriptorProto
	for _, file := range compiled {
		descriptors = append(descriptors, protoutil.ProtoFromFileDescriptor(file))
	}
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: files,
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      descriptors,
	})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	return runPlugin(dir, request)
}

func runPlugin(dir string, request []byte) error {
	plugin := exec.Command("go", "tool", "protoc-gen-go")
	plugin.Stdin = bytes.NewReader(request)
	plugin.Stderr = os.Stderr
	out, err := plugin.Output()
	if err != nil {
		return fmt.Errorf("protoc-gen-go: %w", err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &response); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if response.Error != nil {
		return fmt.Errorf("protoc-gen-go: %s", response.GetError())
	}
	for _, file := range response.File {
		path := filepath.Join(dir, file.GetName())
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write %s: %w", path, err)
		}
	}
	return nil
}
