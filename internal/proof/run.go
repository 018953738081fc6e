package proof

import (
	"fmt"
	"os"
	"sync"
)

// Parallel runs a job for each index below count, at most limit of them at a time, and returns when all have ended.
func Parallel(count, limit int, job func(index int)) {
	var jobs sync.WaitGroup
	slots := make(chan struct{}, limit)
	for index := range count {
		slots <- struct{}{}
		jobs.Go(func() {
			defer func() { <-slots }()
			job(index)
		})
	}
	jobs.Wait()
}

// verdictWord returns the first word of a closing line.
func verdictWord(proved bool) string {
	if proved {
		return "PROVED"
	}
	return "FAILED"
}

// Exit prints the closing line of a proof, which begins with PROVED or FAILED and the proof's name, and exits with
// status 0 if proved, otherwise 1.
func Exit(proved bool, name, format string, figures ...any) {
	fmt.Printf("%s %s %s\n", verdictWord(proved), name, fmt.Sprintf(format, figures...))
	if !proved {
		os.Exit(1)
	}
	os.Exit(0)
}

// PrintErrors prints the errors of runs that failed to complete.
func PrintErrors(errs []error) {
	for _, err := range errs {
		fmt.Println("run failed:", err)
	}
}
