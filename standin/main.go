// Command standin runs stand-ins for the systems around skylarkrelay (the platform, backend servers and callers) for
// demonstrations and measurements.
package main

import (
	"os"

	"github.com/skylarkrelay/skylarkrelay/standin/program"
)

func main() { os.Exit(program.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
