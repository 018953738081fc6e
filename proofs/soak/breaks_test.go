package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The deliberate breaks quote lines of the program as text. A renamed line or a moved file leaves a quotation behind that
// still compiles and no longer breaks anything; each must stand once in the file that it names.
func TestBreaksQuoteTheProgramAsItStands(t *testing.T) {
	all := map[string]map[string][2]string{"panicking": panicking}
	for _, deliberateBreak := range deliberate {
		all[deliberateBreak.name] = deliberateBreak.patches
	}
	for name, patches := range all {
		for file, patch := range patches {
			text, err := os.ReadFile(filepath.Join("..", "..", file))
			if err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			if found := strings.Count(string(text), patch[0]); found != 1 {
				t.Errorf("%s: found %d times in %s, want once: %q", name, found, file, patch[0])
			}
		}
	}
}
