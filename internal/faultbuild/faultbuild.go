// Package faultbuild builds a program of this module together with patched copies of a few files of the standard
// library, so that system calls can fail and the wall clock can be stepped in that build alone, without privileges. The
// patches replace quoted text in files of the installed toolchain, and the results are passed to "go build -overlay"; a
// patch that no longer applies is an error. The running program reads which faults to inject from a memory page that it
// shares with the process that started it (see Page).
package faultbuild

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Patch replaces text that must occur exactly once in a file.
type Patch struct {
	File string // path relative to the root of the standard library or of the module
	Old  string
	New  string
}

// Build builds a package of the module into the file output, with fault injection. The modulePatches, which may be nil,
// are applied to the module's own files: they break the program on purpose, to show that a check detects it. A patch
// that does not apply is reported as a PatchError.
func Build(module, pkg, output string, modulePatches []Patch) error {
	folder, err := os.MkdirTemp("", "faultbuild")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	overlay, err := writeOverlay(folder, module, modulePatches)
	if err != nil {
		return err
	}
	build := exec.Command("go", "build", "-overlay", overlay, "-o", output, pkg)
	build.Dir = module
	if messages, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build with fault injection: %w: %s", err, messages)
	}
	return nil
}

// writeOverlay writes the patched files and the overlay's JSON file into folder, and returns the path of the latter.
func writeOverlay(folder, module string, modulePatches []Patch) (string, error) {
	library, err := libraryRoot()
	if err != nil {
		return "", err
	}
	files := patchedFiles{}
	err = errors.Join(files.applyAll(library, libraryPatches), files.applyAll(module, modulePatches))
	if err != nil {
		return "", err
	}
	for file, text := range libraryAdditions {
		files[filepath.Join(library, file)] = text
	}
	return files.write(folder)
}

// libraryRoot returns the folder of the installed toolchain's standard library.
func libraryRoot() (string, error) {
	goRoot, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", fmt.Errorf("go env: %w", err)
	}
	return filepath.Join(strings.TrimSpace(string(goRoot)), "src"), nil
}
