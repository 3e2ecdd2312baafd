//go:build !race

package main

// raceDetector reports whether the race detector is on. It takes several times the memory of the program.
const raceDetector = false
