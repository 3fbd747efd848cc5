// ================================================================
// Golden cases: each folder under cases holds a command, its input, and what
// it must print. `go test ./test -update` writes the outputs anew.
//
//	cases/check_unknown_key/cmd      tidepost check --as entry input
//	cases/check_unknown_key/input    the file that cmd names
//	cases/check_unknown_key/expout   what goes to standard output
//	cases/check_unknown_key/experr   what goes to standard error, and the code
// ================================================================

// Package test holds the tests of whole programs.
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

var update = flag.Bool("update", false, "write the expected outputs anew")

// binaries is the folder that TestMain builds the programs into.
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
