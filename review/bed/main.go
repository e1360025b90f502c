package main

import (
	"fmt"
	"os"
)

// Results of a case, as the program's exit status.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageText = "usage: bed CASE BINARY RECORD"
)

// cases are the cases by name. Each returns held, broken or couldNot.
var cases = map[string]func(binary string, trouble bool, record *Record) (int, error){
	"repeats": repeats,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageText)
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, binary, path string) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer record.Close()
	result, err := cases[name](binary, os.Getenv("TROUBLE") != "0", record)
	if err != nil {
		record.Sayf("could not run: %v", err)
		return couldNot
	}
	record.Sayf("result: %s", map[int]string{held: "the rule held", broken: "the rule is broken", couldNot: "could not run"}[result])
	return result
}
