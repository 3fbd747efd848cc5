package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binaryFolder is the folder that TestMain builds the programs into. One that is named holds
// programs of another state of the code, which the same runs are to meet.
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
