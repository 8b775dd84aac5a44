// Command standin plays the outside of skylarkrelay for demonstrations and measurements: the platform, backend servers and
// callers.
package main

import (
	"os"

	"github.com/skylarkrelay/skylarkrelay/standin/program"
)

func main() { os.Exit(program.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
