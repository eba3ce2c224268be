// Command lotuswing is the balancer, one process for each entry VM.
package main

import (
	"os"

	"github.com/lotuswing/lotuswing/cli"
)

func main() {
	os.Exit(cli.Balancer(os.Args[1:], os.Stdout, os.Stderr))
}
