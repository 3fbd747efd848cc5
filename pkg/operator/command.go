// ================================================================
// The operators' command line. Each verb has a file of its own, all built
// alike; the table below drives help, completion and dispatch.
// ================================================================

// Package operator is the command line `tidepost`.
package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/vm"
)

// subcommand is one subcommand.
type subcommand struct {
	name    string
	summary string
	example string
	// build adds flags and returns the work.
	build func(c *cobra.Command, s *client) func(ctx context.Context, arguments []string) error
}

// subcommands is the table of subcommands, in the order that help shows them.
var subcommands = []subcommand{
	applyCommand, getCommand, labelCommand, statusCommand, drainCommand, timelineCommand, explainCommand, replayCommand, checkCommand, bootstrapCommand, voterCommand, docsCommand,
}

// ----------------------------------------------------------------
// Exit codes

// The exit codes of the command line.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnreachable = 4
	ExitTimedOut    = 5
)

// exitCodes says which failures have a code of their own; others have 1.
var exitCodes = map[failure.Kind]int{
	failure.BadRequest:       ExitUsage,
	failure.BadDocument:      ExitUsage,
	failure.BadSettings:      ExitUsage,
	failure.Conflict:         ExitConflict,
	failure.ChangeIDReused:   ExitConflict,
	failure.Unreachable:      ExitUnreachable,
	failure.NoQuorum:         ExitUnreachable,
	failure.NotLeader:        ExitUnreachable,
	failure.NotFormed:        ExitUnreachable,
	failure.DeadlineExceeded: ExitTimedOut,
}

const exitHelp = `Exit codes:
  0  done
  1  failed
  2  the command, document or settings file is wrong
  3  refused because of another change: read again and apply again
  4  no entry, leader or quorum can be reached
  5  not done within --timeout`

// usageError marks errors of flags and arguments.
type usageError struct{ error }

// Main runs the command line and returns its exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	s := &client{out: out}
	root := newRoot(s)
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintf(errOut, "tidepost: %v\n", err)
	if _, ok := err.(usageError); ok || strings.HasPrefix(err.Error(), "unknown command") {
		return ExitUsage
	}
	if code, ok := exitCodes[failure.Of(err).Kind()]; ok {
		return code
	}
	return ExitFailed
}

func newRoot(s *client) *cobra.Command {
	root := &cobra.Command{
		Use:           "tidepost",
		Short:         "Spread model weights in bursts to borrowed VMs, and route requests to them",
		Long:          "Operators change labels and selectors; tidepost decides where copies come from,\nwhen a VM is ready, and where each request goes.\n\n" + exitHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := root.PersistentFlags()
	f.StringSliceVar(&s.entries, "entry", envList("TIDEPOST_ENTRY"), "link address IP:PORT of an entry; may be repeated (default $TIDEPOST_ENTRY)")
	f.StringVar(&s.keyFile, "key-file", os.Getenv("TIDEPOST_KEY_FILE"), "file with the shared key (default $TIDEPOST_KEY_FILE)")
	f.StringVar(&s.tlsCertificate, "tls-certificate", "", "certificate for mutual TLS")
	f.StringVar(&s.tlsKey, "tls-key", "", "private key for mutual TLS")
	f.StringVar(&s.tlsAuthority, "tls-authority", "", "authority for mutual TLS")
	f.StringVarP(&s.format, "output", "o", "table", "table, json, jsonl or yaml")
	f.DurationVar(&s.timeout, "timeout", 10*time.Second, "time after which the command gives up")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	for _, v := range subcommands {
		root.AddCommand(newSubcommand(v, s))
	}
	return root
}

func newSubcommand(v subcommand, s *client) *cobra.Command {
	c := &cobra.Command{Use: v.name, Short: v.summary, Example: v.example}
	run := v.build(c, s)
	if c.Args != nil {
		check := c.Args
		c.Args = func(c *cobra.Command, arguments []string) error {
			if err := check(c, arguments); err != nil {
				return usageError{err}
			}
			return nil
		}
	}
	c.RunE = func(_ *cobra.Command, arguments []string) error {
		if formatters[s.format] == nil {
			return usageError{fmt.Errorf("--output %q is not table, json, jsonl or yaml", s.format)}
		}
		ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
		defer cancel()
		defer s.close()
		return run(ctx, arguments)
	}
	return c
}

func envList(name string) []string {
	if text := os.Getenv(name); text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

// ----------------------------------------------------------------
// Client

// client is what all verbs share: how to reach entries and where to write.
type client struct {
	entries        []string
	keyFile        string
	tlsCertificate string
	tlsKey         string
	tlsAuthority   string
	format         string
	timeout        time.Duration
	out            io.Writer
	endpoint       *link.Endpoint
}

func (s *client) close() {
	if s.endpoint != nil {
		s.endpoint.Close()
	}
}

// operatorName is who asks, for the time line.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

func (s *client) open() (*link.Endpoint, error) {
	if s.endpoint != nil {
		return s.endpoint, nil
	}
	if len(s.entries) == 0 {
		return nil, usageError{fmt.Errorf("no entry named; use --entry IP:PORT or set TIDEPOST_ENTRY")}
	}
	key, err := settings.ReadKey(s.keyFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := settings.ReadTLS(s.tlsCertificate, s.tlsKey, s.tlsAuthority)
	if err != nil {
		return nil, err
	}
	s.endpoint = link.NewEndpoint(link.Config{
		Own:    vm.NewIdentity(vm.ID("operator-"+operatorName()), vm.NewIncarnation(), "", "", ""),
		Key:    key,
		TLS:    tlsConfig,
		Clock:  event.NewClock(time.Now),
		Logger: log.NewNopLogger(),
	})
	return s.endpoint, nil
}

// call asks the entries in turn until one can be reached. A failure that says
// something other than "go elsewhere" is final.
func (s *client) call(ctx context.Context, kind link.Kind, request, answer any) error {
	endpoint, err := s.open()
	if err != nil {
		return err
	}
	for _, address := range s.entries {
		err = endpoint.Call(ctx, address, kind, request, answer)
		if err == nil || !tryNextEntry[failure.Of(err).Kind()] {
			return err
		}
	}
	return err
}

// tryNextEntry are the failures that another entry may not have.
var tryNextEntry = map[failure.Kind]bool{
	failure.Unreachable: true,
	failure.NotLeader:   true,
	failure.NotFormed:   true,
	failure.Draining:    true,
}
