package faultbuild

import (
	"path/filepath"
	"testing"
)

// All patches apply to the installed toolchain, and a patch that does not apply is an error.
func TestPatchesApply(t *testing.T) {
	module, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	if err := Build(module, "./cmd/terntray", filepath.Join(t.TempDir(), "terntray"), nil); err != nil {
		t.Error(err)
	}
	bad := []Patch{{File: "cmd/terntray/main.go", Old: "no such text"}}
	if Build(module, "./cmd/terntray", filepath.Join(t.TempDir(), "terntray"), bad) == nil {
		t.Error("a patch whose text does not occur was accepted")
	}
}
