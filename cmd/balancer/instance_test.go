package main

import "testing"

// An instance whose address is in use ends with an error.
func TestListenOnTakenAddressFails(t *testing.T) {
	platform := newPlatformStub(t)
	cfg := platform.config(t)
	cfg.Listen = platform.controllerAddress() // in use by the controller stub
	if err := <-startServer(t, cfg).ended; err == nil {
		t.Error("got no error, want one for an address in use")
	}
}
