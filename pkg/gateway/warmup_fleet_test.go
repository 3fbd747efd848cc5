// ================================================================
// The limit of a server that warms up, over 2 to 149 gateways and the same faults as an advertised limit.
// Guards against a server that has just started and gets the requests that all gateways have for a
// server without work: above the rate that it bears it crashes.
// ================================================================

package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// warmupWindow is the window in which the requests to a server that warms up are counted.
	warmupWindow = time.Second
	// testWarmupRate is the rate that the server bears, in requests per second.
	testWarmupRate = 26
)

func TestWarmupLimitHoldsAcrossGateways(t *testing.T) {
	for _, fault := range fleetFaults {
		for _, gateways := range []int{2, 36, 149} {
			t.Run(fmt.Sprintf("%s/%d", fault.name, gateways), func(t *testing.T) {
				t.Parallel()
				f := newLimitFleet(t, gateways, testWarmupRate, max(3*testWarmupRate/float64(gateways), 1))
				f.service = serviceconfig.NewService("menu", "", 0, "", serviceconfig.Engine{}, false, testWarmupRate)
				f.warmup = time.Hour
				synctest.Test(t, func(t *testing.T) {
					f.run(fault.inject, largeFleetDuration)
					if most, allowed := f.maxInWindow(warmupWindow), int(allowedFactor*testWarmupRate)+allowedSlack; most > allowed {
						t.Errorf("%d requests in %s, %d allowed", most, warmupWindow, allowed)
					}
					if used := f.used(); used < fault.minUsed {
						t.Errorf("%.2f of the limit was used, %.2f is the aim", used, fault.minUsed)
					}
				})
			})
		}
	}
}

// After the warm-up the gateways need no permit, although none of them has heard from the server again.
func TestWarmupEndsEverywhere(t *testing.T) {
	const gateways, demand = 36, 4.0
	f := newLimitFleet(t, gateways, testWarmupRate, demand)
	f.service = serviceconfig.NewService("menu", "", 0, "", serviceconfig.Engine{}, false, testWarmupRate)
	f.warmup = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f.run(fleetFaults[0].inject, smallFleetDuration)
		if possible := gateways * demand * (smallFleetDuration - f.warmup).Seconds(); float64(f.sent) < 0.9*possible {
			t.Errorf("%d requests were sent, %.0f were possible after the warm-up", f.sent, possible)
		}
	})
}
