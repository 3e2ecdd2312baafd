// Command otterlab is the former name of testbed.
package main

import "ottershed/internal/alias"

func main() { alias.Exec("testbed") }
