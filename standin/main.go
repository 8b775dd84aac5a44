// Command standin plays the outside of skylarkrelay for demonstrations and tests: the platform's key-value
// service, backend servers, a network that can be cut, and callers.
package main

import (
	"os"

	"github.com/skylarkrelay/skylarkrelay/standin/program"
)

func main() { os.Exit(program.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
