package main

import (
	"os"
	"os/signal"
	"syscall"
)

// stopSignals is the number of signals to stop that are told apart: a second one may end the process.
const stopSignals = 2

// notifyStop returns a channel that gets SIGTERM and interrupts. It is called before a process does
// anything else: until then such a signal ends it at once.
func notifyStop() chan os.Signal {
	c := make(chan os.Signal, stopSignals)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	return c
}

// notifyReload is like notifyStop, for SIGHUP.
func notifyReload() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
