package faultbuild

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// PatchError is a patch that does not fit: the program or the tool chain has changed since it was written.
type PatchError struct {
	Path  string
	Old   string
	Found int // how often the text stands there; once is wanted
}

// Error says which text was looked for, and how often it stands there.
func (e *PatchError) Error() string {
	return fmt.Sprintf("%s: %q occurs %d times: the patch does not fit", e.Path, e.Old, e.Found)
}

// patchedTexts are the files that replace others, by the path of those.
type patchedTexts map[string]string

// applyAll applies the patches to files under a folder; its error holds all that do not fit.
func (t patchedTexts) applyAll(root string, patches []Patch) error {
	var errs []error
	for _, patch := range patches {
		errs = append(errs, t.apply(filepath.Join(root, patch.File), patch))
	}
	return errors.Join(errs...)
}

// apply applies a patch on top of those that the file has already had.
func (t patchedTexts) apply(path string, patch Patch) error {
	text, patched := t[path]
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
	t[path] = strings.Replace(text, patch.Old, patch.New, 1)
	return nil
}

// overlay is what "go build -overlay" reads: by the path of each file the path of the one that replaces it.
type overlay struct {
	Replace map[string]string
}

// write writes the files and the overlay's description into a folder, and returns the latter's path.
func (t patchedTexts) write(folder string) (string, error) {
	description := overlay{Replace: map[string]string{}}
	for path, text := range t {
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
