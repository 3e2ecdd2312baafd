package main

import "testing"

// An instance that can't listen returns an error.
func TestListenOnTakenAddressFails(t *testing.T) {
	platform := newPlatformStub(t)
	cfg := platform.config(t)
	cfg.Listen = platform.controllerAddress() // taken
	if err := <-startServer(t, cfg).ended; err == nil {
		t.Error("served on a taken address")
	}
}
