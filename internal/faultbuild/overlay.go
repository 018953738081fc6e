package faultbuild

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// PatchError reports a patch that does not apply: the program or the toolchain has changed since it was written.
type PatchError struct {
	Path  string
	Old   string
	Found int // number of occurrences of Old in the file; it should be 1
}

// Error implements the error interface.
func (e *PatchError) Error() string {
	return fmt.Sprintf("%s: patch does not apply: %q occurs %d times, want 1", e.Path, e.Old, e.Found)
}

// patchedFiles holds the contents of replacement files by the path of the file that each replaces.
type patchedFiles map[string]string

// applyAll applies patches to files under root. Its error joins those of all patches that do not apply.
func (files patchedFiles) applyAll(root string, patches []Patch) error {
	var errs []error
	for _, patch := range patches {
		errs = append(errs, files.apply(filepath.Join(root, patch.File), patch))
	}
	return errors.Join(errs...)
}

// apply applies a patch to a file, after any patches that have already been applied to it.
func (files patchedFiles) apply(path string, patch Patch) error {
	text, patched := files[path]
	if !patched {
		read, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text = string(read)
	}
	if found := strings.Count(text, patch.Old); found != 1 {
		return &PatchError{Path: path, Old: patch.Old, Found: found}
	}
	files[path] = strings.Replace(text, patch.Old, patch.New, 1)
	return nil
}

// overlay is the JSON that "go build -overlay" reads. Replace maps the path of a file to the path of its replacement.
type overlay struct {
	Replace map[string]string
}

// write writes the replacement files and the overlay's JSON file into a folder, and returns the path of the latter.
func (files patchedFiles) write(folder string) (string, error) {
	description := overlay{Replace: map[string]string{}}
	for path, text := range files {
		replacement := filepath.Join(folder, fmt.Sprintf("%d.go", len(description.Replace)))
		if err := os.WriteFile(replacement, []byte(text), 0o600); err != nil {
			return "", err
		}
		description.Replace[path] = replacement
	}
	content, err := json.Marshal(description)
	if err != nil {
		return "", err
	}
	file := filepath.Join(folder, "overlay.json")
	return file, os.WriteFile(file, content, 0o600)
}
