// Command ottershed is the former name of balancer.
package main

import "ottershed/internal/alias"

func main() { alias.Exec("balancer") }
