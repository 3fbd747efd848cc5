// Command tidepost-fake runs fake engines, services, origins and platforms for the demo and the tests.
package main

import (
	"fmt"
	"os"

	"github.com/tidepost/tidepost/pkg/fake"
)

func main() {
	if err := fake.NewCommand().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "tidepost-fake: %v\n", err)
		os.Exit(1)
	}
}
