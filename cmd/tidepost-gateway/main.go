// Command tidepost-gateway runs on each entry VM and routes callers' requests to backend servers.
package main

import (
	"os"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/gateway"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/platform"
)

func main() {
	os.Exit(daemon.MainWithPath("tidepost-gateway", settings.LoadGateway, func(path string, s settings.Gateway, signals <-chan os.Signal) error {
		protocol, err := daemon.ChooseProtocol(s.Protocol(), gateway.NativeProtocol(), platform.Gateway())
		if err != nil {
			return err
		}
		g, err := gateway.New(s, path, protocol, daemon.Hooks{})
		if err != nil {
			return err
		}
		return g.Run(signals)
	}))
}
