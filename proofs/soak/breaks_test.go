package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"terntray/internal/faultbuild"
)

// The deliberate breaks quote lines of the program as text. If a quoted line changes or its file moves, the quotation
// still compiles but no longer matches. Each quotation must occur exactly once in its file.
func TestBreaksQuoteTheProgramAsItStands(t *testing.T) {
	all := map[string][]faultbuild.Patch{"panics": panicPatches}
	for _, deliberate := range deliberateBreaks {
		all[deliberate.name] = deliberate.patches
	}
	for name, patches := range all {
		for _, patch := range patches {
			text, err := os.ReadFile(filepath.Join("..", "..", patch.File))
			if err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			if found := strings.Count(string(text), patch.Old); found != 1 {
				t.Errorf("%s: found %d times in %s, want once: %q", name, found, patch.File, patch.Old)
			}
		}
	}
}
