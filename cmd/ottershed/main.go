// Command ottershed is the earlier name of balancer.
package main

import "ottershed/internal/alias"

func main() { alias.Become("balancer") }
