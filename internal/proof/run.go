package proof

import (
	"fmt"
	"os"
	"sync"
)

// Parallel runs a job for each index below count, at most limit at a time, and returns once all have ended.
func Parallel(count, limit int, job func(index int)) {
	var all sync.WaitGroup
	places := make(chan struct{}, limit)
	for index := range count {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			job(index)
		})
	}
	all.Wait()
}

// word begins a proof's closing line.
func word(proved bool) string {
	if proved {
		return "PROVED"
	}
	return "FAILED"
}

// Close prints a proof's closing line, with the name of the proof before it and the verdict before that, and ends the
// process with the status of the verdict.
func Close(proved bool, name, format string, figures ...any) {
	fmt.Printf("%s %s %s\n", word(proved), name, fmt.Sprintf(format, figures...))
	if !proved {
		os.Exit(1)
	}
	os.Exit(0)
}

// PrintUnplayed prints what could not be played.
func PrintUnplayed(errs []error) {
	for _, err := range errs {
		fmt.Println("could not be played:", err)
	}
}
