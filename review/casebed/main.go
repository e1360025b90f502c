package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a case, as its exit status.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases are the scripted cases by name. Each returns whether the rule held.
var cases = map[string]func(r *recordFile, trouble bool) (held bool, err error){
	"no-limit":   noLimit,
	"crlf":       crlf,
	"old-limits": oldLimits,
	"own-503":    own503,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casebed CASE RECORD")
		os.Exit(cannotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	record := &recordFile{file: file, began: time.Now()}
	held, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.line("the case could not run: %v", err)
		os.Exit(cannotRun)
	case !held:
		os.Exit(ruleBroken)
	}
	os.Exit(ruleHeld)
}
