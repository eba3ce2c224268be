// Command lotusctl is the operators' command line.
package main

import (
	"os"

	"github.com/lotuswing/lotuswing/control"
)

func main() {
	os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr))
}
