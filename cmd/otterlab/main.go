// Command otterlab is the earlier name of testbed.
package main

import "ottershed/internal/alias"

func main() { alias.Become("testbed") }
