// Command benchlink is the earlier name of simadapter.
package main

import "ottershed/internal/alias"

func main() { alias.Become("simadapter") }
