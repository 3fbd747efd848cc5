// ================================================================
// The command line of tidepost-fake, with a subcommand for each fake.
// ================================================================

package fake

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// NewCommand returns the root command of tidepost-fake.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "tidepost-fake",
		Short:         "Fake engine, service, origin and platform for the demo and tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newEngineCommand(), newServiceCommand(), newOriginCommand(), newPlatformCommand())
	return root
}

func listenFlag(c *cobra.Command) *string {
	return c.Flags().String("listen", "", "address IP:PORT to listen on")
}

func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	return server.Serve(l)
}

func newEngineCommand() *cobra.Command {
	c := &cobra.Command{Use: "engine", Short: "Run a fake model engine"}
	listen := listenFlag(c)
	batch := c.Flags().Int("batch", 8, "maximum number of requests in one batch step")
	step := c.Flags().Duration("step", defaultStep, "duration of one batch step")
	load := c.Flags().Duration("load", 100*time.Millisecond, "duration of one load of weights")
	fences := c.Flags().Bool("fences", false, "reject orders with a fencing token that is not newer")
	c.RunE = func(*cobra.Command, []string) error {
		e := NewEngine(*batch)
		e.Step, e.LoadTime, e.ChecksFences = *step, *load, *fences
		return serve(*listen, e.Handler())
	}
	return c
}

func newServiceCommand() *cobra.Command {
	c := &cobra.Command{Use: "service", Short: "Run a fake plain service whose calls may not be repeated"}
	listen := listenFlag(c)
	delay := c.Flags().Duration("delay", 0, "duration of one call")
	c.RunE = func(*cobra.Command, []string) error {
		s := NewService()
		s.Delay = *delay
		return serve(*listen, s.Handler())
	}
	return c
}

func newOriginCommand() *cobra.Command {
	c := &cobra.Command{Use: "origin", Short: "Run a fake origin of weights", Example: "tidepost-fake origin --listen 127.0.0.1:7700 --model menu@v7 --size 8MiB --chunk 256KiB"}
	listen := listenFlag(c)
	models := c.Flags().StringSlice("model", nil, "model@version to publish; the flag may be repeated")
	size := c.Flags().String("size", "8MiB", "size of each version")
	chunk := c.Flags().String("chunk", "256KiB", "size of a chunk")
	perSecond := c.Flags().String("rate", "0", "maximum bytes sent per second; 0 means no limit")
	c.RunE = func(*cobra.Command, []string) error {
		sizes, err := parseSizes(*size, *chunk, *perSecond)
		if err != nil {
			return err
		}
		o := NewOrigin(int64(sizes[1]), float64(sizes[2]))
		for i, key := range *models {
			model, version, ok := strings.Cut(key, "@")
			if !ok {
				return errors.Errorf("--model %q is not model@version", key)
			}
			o.Publish(model, version, int64(sizes[0]), uint64(i+1))
		}
		return serve(*listen, o.Handler())
	}
	return c
}

func parseSizes(texts ...string) ([]uint64, error) {
	var sizes []uint64
	for _, text := range texts {
		n, err := humanize.ParseBytes(text)
		if err != nil {
			return nil, errors.Wrapf(err, "%q is not a size", text)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

func newPlatformCommand() *cobra.Command {
	c := &cobra.Command{Use: "platform", Short: "Run a fake of the platform's list of VMs"}
	listen := listenFlag(c)
	lag := c.Flags().Duration("lag", 0, "time until a withdrawal appears in the list")
	c.RunE = func(*cobra.Command, []string) error { return serve(*listen, NewPlatform(*lag).Handler()) }
	return c
}
