package faultbuild

import (
	"path/filepath"
	"testing"
)

// The patches fit the installed tool chain, and a patch that does not is an error.
func TestPatchesFit(t *testing.T) {
	module, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	if err := Build(module, "./cmd/terntray", filepath.Join(t.TempDir(), "terntray"), nil); err != nil {
		t.Error(err)
	}
	bad := []Patch{{File: "cmd/terntray/main.go", Old: "no such text"}}
	if Build(module, "./cmd/terntray", filepath.Join(t.TempDir(), "terntray"), bad) == nil {
		t.Error("a patch that fits nowhere passes")
	}
}
