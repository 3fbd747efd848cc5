// Command tidepost is the command line for operators.
package main

import (
	"os"

	"github.com/tidepost/tidepost/pkg/operator"
)

func main() {
	os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr))
}
