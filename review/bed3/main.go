package main

import (
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(trouble bool) (broken bool){}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		cleanup()
		os.Exit(2)
	}()
	broken := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	cleanup()
	if broken {
		os.Exit(1)
	}
}
