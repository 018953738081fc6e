package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/go-jsonnet"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"terntray/config"
)

// rendered renders a template and checks what comes out: by the schema, then by what it means.
func rendered(file string, external []string) ([]byte, error) {
	vm := jsonnet.MakeVM()
	vm.Importer(&jsonnet.FileImporter{JPaths: []string{filepath.Dir(file)}})
	for _, pair := range external {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("--var: found %q, wanted NAME=VALUE", pair)
		}
		vm.ExtVar(name, value)
	}
	text, err := vm.EvaluateFile(file)
	if err != nil { // names file and line
		return nil, err
	}
	schema, err := compiled()
	if err != nil {
		return nil, err
	}
	value, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := schema.Validate(value); err != nil { // names path, found and wanted
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if _, err := config.Parse([]byte(text)); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return []byte(text), nil
}

func compiled() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(config.Schema))
	if err != nil {
		return nil, err
	}
	const name = "installation.json"
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		return nil, err
	}
	return c.Compile(name)
}

// replace writes a file in one go: who reads it sees the old or the new one.
func replace(file string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err := f.Write(text); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), file)
}
