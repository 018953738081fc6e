package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The breaks quote the program's text. Where the program is reworded and the quotation is not, the break is not made, and
// the soak that wants it caught is told so only after minutes.
func TestBreaksQuoteTheProgramAsItIs(t *testing.T) {
	patches := []map[string][2]string{panicking}
	for _, fault := range deliberate {
		patches = append(patches, fault.patches)
	}
	for _, files := range patches {
		for file, change := range files {
			text, err := os.ReadFile(filepath.Join("..", "..", file))
			if err != nil {
				t.Error(err)
				continue
			}
			if times := strings.Count(string(text), change[0]); times != 1 {
				t.Errorf("%s has %d times, wanted once: %s", file, times, change[0])
			}
		}
	}
}
