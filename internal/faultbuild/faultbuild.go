// Package faultbuild builds a program of this module together with patched copies of a few files of the standard
// library, so that system calls fail and the wall clock is stepped in that one build, without any privilege. The
// patched files are derived from the installed tool chain by pattern and handed to "go build -overlay"; a pattern
// that no longer fits is an error. The running program reads what is to fail from a page that it shares with whoever
// started it (see Page).
package faultbuild

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Patch replaces text that must stand exactly once in a file.
type Patch struct {
	File string // its path from the root of the standard library, or of the module
	Old  string
	New  string
}

// Build builds a package of the module to a file, with the faults in it and with patches of the module's own files.
// Those break the program on purpose, to show that a check notices; nil: none. A patch that does not fit is a
// PatchError.
func Build(module, pkg, to string, modulePatches []Patch) error {
	folder, err := os.MkdirTemp("", "faultbuild")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	overlay, err := writeOverlay(folder, module, modulePatches)
	if err != nil {
		return err
	}
	build := exec.Command("go", "build", "-overlay", overlay, "-o", to, pkg)
	build.Dir = module
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build with faults: %w: %s", err, out)
	}
	return nil
}

// writeOverlay writes the patched files and the overlay's description, and returns the latter's path.
func writeOverlay(folder, module string, modulePatches []Patch) (string, error) {
	library, err := libraryRoot()
	if err != nil {
		return "", err
	}
	texts := patchedTexts{}
	err = errors.Join(texts.applyAll(library, libraryPatches), texts.applyAll(module, modulePatches))
	if err != nil {
		return "", err
	}
	for file, text := range libraryAdditions {
		texts[filepath.Join(library, file)] = text
	}
	return texts.write(folder)
}

// libraryRoot is the folder of the installed tool chain's standard library.
func libraryRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", fmt.Errorf("go env: %w", err)
	}
	return filepath.Join(strings.TrimSpace(string(out)), "src"), nil
}
