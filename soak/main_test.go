package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binaryFolder is the folder with the programs under test. TestMain builds them there unless
// TIDEPOST_SOAK_BINARIES names a folder with programs of another revision, to run the same
// tests against it.
var binaryFolder = os.Getenv("TIDEPOST_SOAK_BINARIES")

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	if binaryFolder != "" {
		return m.Run()
	}
	folder, err := os.MkdirTemp("", "tidepost-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder+"/", "../cmd/tidepost-control", "../cmd/tidepost-gateway", "../cmd/tidepost-stager")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	binaryFolder = folder
	return m.Run()
}
