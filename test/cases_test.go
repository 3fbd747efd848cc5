// ================================================================
// Golden cases: each folder in cases holds a command, its input file if it has
// one, and the expected output. `go test ./test -update` rewrites the outputs.
//
//	cases/entry_unknown_key/cmd      the command: tidepost check --as entry input
//	cases/entry_unknown_key/input    the file that the command reads
//	cases/entry_unknown_key/expout   the expected standard output
//	cases/entry_unknown_key/experr   the expected standard error and exit code
// ================================================================

// Package test holds the tests that run the built programs.
package test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the expected outputs and the reference pages")

// binaries is the folder into which TestMain builds the programs.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "tidepost-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder+"/", "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	binaries = folder
	return m.Run()
}

func TestCases(t *testing.T) {
	commands, err := filepath.Glob("cases/*/cmd")
	if err != nil || len(commands) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, path := range commands {
		folder := filepath.Dir(path)
		t.Run(filepath.Base(folder), func(t *testing.T) { runCase(t, folder) })
	}
}

func runCase(t *testing.T, folder string) {
	commandLine, err := os.ReadFile(filepath.Join(folder, "cmd"))
	if err != nil {
		t.Fatal(err)
	}
	words := strings.Fields(string(commandLine))
	command := exec.Command(filepath.Join(binaries, words[0]), words[1:]...)
	command.Dir = folder
	command.Env = []string{"HOME=" + t.TempDir()}
	var out, errOut bytes.Buffer
	command.Stdout, command.Stderr = &out, &errOut
	_ = command.Run()
	fmt.Fprintf(&errOut, "exit code %d\n", command.ProcessState.ExitCode())
	compareGolden(t, filepath.Join(folder, "expout"), out.Bytes())
	compareGolden(t, filepath.Join(folder, "experr"), errOut.Bytes())
}

func compareGolden(t *testing.T, path string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs.\n--- got\n%s--- want\n%s", path, got, want)
	}
}
