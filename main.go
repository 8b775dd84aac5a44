// Command skylarkrelay runs the daemon beside a backend server, and provides the operators' command line.
package main

import (
	"os"

	"github.com/skylarkrelay/skylarkrelay/cmd"
)

func main() { os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
