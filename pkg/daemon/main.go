// ================================================================
// The command line of a daemon: a settings file, or a check of one.
// ================================================================

package daemon

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/failure"
)

// SettingsVariable names the settings file where --settings does not.
const SettingsVariable = "TIDEPOST_CONFIG"

// Main runs a daemon and returns its exit code: 0 after an orderly end, 1 on a
// failure, 2 when the command line or the settings are wrong.
func Main[T any](name string, load func(path string) (T, error), run func(T, <-chan os.Signal) error) int {
	return MainWithPath(name, load, func(_ string, s T, signals <-chan os.Signal) error { return run(s, signals) })
}

// MainWithPath is Main for a daemon that reads its settings file again while it
// runs.
func MainWithPath[T any](name string, load func(path string) (T, error), run func(path string, s T, signals <-chan os.Signal) error) int {
	// A reload asked for while the process starts or ends must not end it: without a
	// taker SIGHUP does.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	var path string
	var checkOnly bool
	code := 2
	c := &cobra.Command{
		Use:           name + " --settings FILE [--check]",
		Short:         "Run " + name,
		Example:       fmt.Sprintf("  %s --settings %s.yaml --check\n  %s --settings %s.yaml", name, name, name, name),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.Flags().StringVar(&path, "settings", os.Getenv(SettingsVariable), "settings file; see docs/SETTINGS.md; "+SettingsVariable+" names it too")
	c.Flags().BoolVar(&checkOnly, "check", false, "check the settings file and end")
	c.RunE = func(*cobra.Command, []string) error {
		if path == "" {
			return failure.New(failure.BadSettings, "no settings file: name one with --settings or %s", SettingsVariable)
		}
		s, err := load(path)
		if err != nil {
			return err
		}
		if checkOnly {
			fmt.Printf("%s is valid\n", path)
			return nil
		}
		code = 1
		return run(path, s, Signals())
	}
	if err := c.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return code
	}
	return 0
}

// NamedProtocol is something that settings choose by name.
type NamedProtocol interface{ ProtocolName() string }

// ChooseProtocol returns the one of several that the settings name.
func ChooseProtocol[T NamedProtocol](name string, known ...T) (T, error) {
	var names []string
	for _, k := range known {
		if k.ProtocolName() == name {
			return k, nil
		}
		names = append(names, k.ProtocolName())
	}
	var none T
	return none, failure.New(failure.BadSettings, "protocol %q is not known; known are %v", name, names)
}
