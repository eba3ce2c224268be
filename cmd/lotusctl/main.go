// Command lotusctl is the operators' command line.
package main

import (
	"os"

	"github.com/lotuswing/lotuswing/cli"
)

func main() {
	os.Exit(cli.Control(os.Args[1:], os.Stdout, os.Stderr))
}
