// ================================================================
// Case: the system starts for the first time, the operator sends the first configuration, and the machine that
// has acknowledged it, or forwarded it to the machine that has, loses its disk: the first of the seeds.
// ================================================================

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// operatorDelay is how long after the machines the operator sends the first configuration.
	operatorDelay = 150 * time.Millisecond
	// firstSeed is the machine that loses its disk: the first of the seeds.
	firstSeed = 0
	// readBackTime is how long the operator reads the configuration back.
	readBackTime = 10 * time.Second
)

func firstChange(ctx context.Context, r *record, trouble bool) (broken bool, err error) {
	const version = 7
	d, err := newDeployment(r, 3, 3)
	if err != nil {
		return false, err
	}
	defer d.end()
	for i := range d.controls {
		if err := d.startControl(i, true); err != nil {
			return false, err
		}
	}
	for i := range d.gateways {
		if err := d.startGateway(i); err != nil {
			return false, err
		}
	}
	time.Sleep(operatorDelay)
	by, err := d.put(ctx, 0, configuration(version))
	if err != nil {
		return false, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	r.say("configuration %d is acknowledged by %s", version, controlName(by))
	if trouble {
		if err := d.loseDisk(firstSeed); err != nil {
			return false, err
		}
	}
	r.say("the operator waits for recover_s and reads the configuration back")
	time.Sleep(recoverBound)
	return d.readBack(ctx, version), nil
}

// readBack reads the configuration at every node, again and again, and reports whether the acknowledged one is
// lost: no node gives it, or one gives an older one.
func (d *deployment) readBack(ctx context.Context, acknowledged int) (lost bool) {
	given, older := 0, 0
	for end := time.Now().Add(readBackTime); time.Now().Before(end) && ctx.Err() == nil; {
		for _, i := range d.nodes() {
			status, version := d.readVersion(ctx, i)
			d.record.log("read    at %s: %d, version %d", controlName(i), status, version)
			switch {
			case version >= acknowledged:
				given++
			case version >= 0:
				older++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	ready := 0
	for i := range d.gateways {
		if status, _ := callControl(ctx, newClient(), http.MethodGet, d.address(gatewayMachines, i, readyPort), "/api/ready", nil); status == http.StatusOK {
			ready++
		}
	}
	d.record.say("read back for %v: the acknowledged version %d came %d times, an older one %d times; %d of %d gateways are ready",
		readBackTime, acknowledged, given, older, ready, d.gateways)
	again, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if by, err := d.put(again, 0, configuration(acknowledged+1)); err != nil {
		d.record.say("a new configuration isn't taken by any node within 5 s")
	} else {
		d.record.say("a new configuration is taken by %s", controlName(by))
	}
	return given == 0 || older > 0
}
