package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"terntray/internal/faultbuild"
)

// The deliberate breaks quote lines of the program as text. A renamed line or a moved file leaves a quotation behind that
// still compiles and no longer breaks anything; each must stand once in the file that it names.
func TestBreaksQuoteTheProgramAsItStands(t *testing.T) {
	all := map[string][]faultbuild.Patch{"panicking": panicking}
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
