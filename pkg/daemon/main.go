// ================================================================
// The command line of a daemon: it runs with a settings file or only checks the file.
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

// SettingsVariable is the environment variable that gives the settings file if --settings does not.
const SettingsVariable = "TIDEPOST_CONFIG"

// Main loads the settings, runs a daemon and returns its exit code: 0 after an orderly stop, 1 after
// a failure, 2 for an invalid command line or invalid settings.
func Main[T any](name string, load func(path string) (T, error), run func(T, <-chan os.Signal) error) int {
	return MainWithPath(name, load, func(_ string, s T, signals <-chan os.Signal) error { return run(s, signals) })
}

// MainWithPath is Main for a daemon that reloads its settings file while it runs: run also gets the
// path.
func MainWithPath[T any](name string, load func(path string) (T, error), run func(path string, s T, signals <-chan os.Signal) error) int {
	// The default action of SIGHUP ends the process. This handler ignores a SIGHUP that arrives
	// during start or stop, while no Reloadable handles it.
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
	c.Flags().StringVar(&path, "settings", os.Getenv(SettingsVariable), "path of the settings file, described in docs/SETTINGS.md; "+SettingsVariable+" sets the default")
	c.Flags().BoolVar(&checkOnly, "check", false, "check the settings file and exit")
	c.RunE = func(*cobra.Command, []string) error {
		if path == "" {
			return failure.New(failure.BadSettings, "no settings file: set --settings or %s", SettingsVariable)
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

// NamedProtocol is a protocol that the setting protocol selects by its name.
type NamedProtocol interface{ ProtocolName() string }

// ChooseProtocol returns the known protocol with the given name, or a BadSettings failure that lists
// the known names.
func ChooseProtocol[T NamedProtocol](name string, known ...T) (T, error) {
	var names []string
	for _, k := range known {
		if k.ProtocolName() == name {
			return k, nil
		}
		names = append(names, k.ProtocolName())
	}
	var none T
	return none, failure.New(failure.BadSettings, "protocol %q is unknown; known protocols: %v", name, names)
}
