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

// schemaName names the schema in error messages.
const schemaName = "installation.json"

// render renders a template and checks the result against the schema, then for consistency between its sections. Errors
// name the file and the line or field.
func render(file string, variables []string) ([]byte, error) {
	text, err := evaluate(file, variables)
	if err != nil {
		return nil, err
	}
	if err := checkSchema(text); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if _, err := config.Parse([]byte(text)); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return []byte(text), nil
}

// checkTemplate renders a template and loads the certificates that it names.
func checkTemplate(file string, variables []string) error {
	text, err := render(file, variables)
	if err != nil {
		return err
	}
	parsed, err := config.Parse(text)
	if err != nil {
		return err
	}
	_, err = parsed.LoadTLS()
	return err
}

// evaluate evaluates a Jsonnet template with external variables, each given as NAME=VALUE.
func evaluate(file string, variables []string) (string, error) {
	vm := jsonnet.MakeVM()
	vm.Importer(&jsonnet.FileImporter{JPaths: []string{filepath.Dir(file)}})
	for _, pair := range variables {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return "", fmt.Errorf("--var: found %q, wanted NAME=VALUE", pair)
		}
		vm.ExtVar(name, value)
	}
	return vm.EvaluateFile(file) // its errors name file and line
}

// checkSchema checks a rendered file against the schema. Errors name the path, what was found and what is expected.
func checkSchema(text string) error {
	schema, err := compileSchema()
	if err != nil {
		return err
	}
	value, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	if err != nil {
		return err
	}
	return schema.Validate(value)
}

func compileSchema() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(config.Schema))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		return nil, err
	}
	return compiler.Compile(schemaName)
}

// replaceFile replaces a file atomically by a rename, so that a reader sees either the old or the new content.
func replaceFile(file string, text []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name())
	if _, err := temporary.Write(text); err != nil {
		temporary.Close()
		return err
	}
	if err := temporary.Close(); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), file)
}
