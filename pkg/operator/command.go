// ================================================================
// The root command, its flags and exit codes, and the client that all subcommands share. Each
// subcommand has its own file; the table of subcommands drives help, completion and dispatch.
// ================================================================

// Package operator implements the command line `tidepost`.
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
	// build adds the flags and returns the function that runs the subcommand.
	build func(c *cobra.Command, s *client) func(ctx context.Context, arguments []string) error
}

// subcommands has all subcommands of the root command.
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

// exitCodes maps kinds of failures to exit codes. Other kinds exit with ExitFailed.
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
  3  conflict with another change: read the configuration again and retry
  4  no entry, leader or quorum is reachable
  5  not completed within --timeout`

// usageError is an error in flags or arguments. It exits with ExitUsage.
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
		Short:         "Distribute model weights in bursts to temporary VMs, and route requests to them",
		Long:          "Operators change labels and selectors; tidepost decides where copies come from,\nwhen a VM is ready, and where each request goes.\n\n" + exitHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := root.PersistentFlags()
	f.StringSliceVar(&s.entries, "entry", envList("TIDEPOST_ENTRY"), "link address IP:PORT of an entry; may be given several times (default $TIDEPOST_ENTRY)")
	f.StringVar(&s.keyFile, "key-file", os.Getenv("TIDEPOST_KEY_FILE"), "file with the shared key (default $TIDEPOST_KEY_FILE)")
	f.StringVar(&s.tlsCertificate, "tls-certificate", "", "certificate for mutual TLS")
	f.StringVar(&s.tlsKey, "tls-key", "", "private key for mutual TLS")
	f.StringVar(&s.tlsAuthority, "tls-authority", "", "certificate authority for mutual TLS")
	f.StringVarP(&s.format, "output", "o", "table", "table, json, jsonl or yaml")
	f.DurationVar(&s.timeout, "timeout", 10*time.Second, "time limit of the command")
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

// client is shared by all subcommands: the flags of the root command, the connection to the entries,
// and the output. It is not safe for concurrent use.
type client struct {
	entries        []string
	keyFile        string
	tlsCertificate string
	tlsKey         string
	tlsAuthority   string
	format         string
	timeout        time.Duration
	out            io.Writer
	endpoint       *link.Endpoint // nil until the first call of open
}

func (s *client) close() {
	if s.endpoint != nil {
		s.endpoint.Close()
	}
}

// operatorName returns the operating system's name of the user, which the timeline shows as the author
// of a change.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

// open returns the endpoint for calls to entries, and creates it at the first call.
func (s *client) open() (*link.Endpoint, error) {
	if s.endpoint != nil {
		return s.endpoint, nil
	}
	if len(s.entries) == 0 {
		return nil, usageError{fmt.Errorf("no entry given; use --entry IP:PORT or set TIDEPOST_ENTRY")}
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
		Self:   vm.NewIdentity(vm.ID("operator-"+operatorName()), vm.NewIncarnation(), "", "", ""),
		Key:    key,
		TLS:    tlsConfig,
		Clock:  event.NewClock(time.Now),
		Logger: log.NewNopLogger(),
	})
	return s.endpoint, nil
}

// call sends a request to one entry after another until one responds. Only the failures in
// tryNextEntry lead to the next entry; any other is returned at once.
func (s *client) call(ctx context.Context, kind link.Kind, request, response any) error {
	endpoint, err := s.open()
	if err != nil {
		return err
	}
	for _, address := range s.entries {
		err = endpoint.Call(ctx, address, kind, request, response)
		if err == nil || !tryNextEntry[failure.Of(err).Kind()] {
			return err
		}
	}
	return err
}

// tryNextEntry are the kinds of failures after which another entry may still accept the request.
var tryNextEntry = map[failure.Kind]bool{
	failure.Unreachable: true,
	failure.NotLeader:   true,
	failure.NotFormed:   true,
	failure.Draining:    true,
}
