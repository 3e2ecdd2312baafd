// Command benchlink is the former name of simadapter.
package main

import "ottershed/internal/alias"

func main() { alias.Exec("simadapter") }
