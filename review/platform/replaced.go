// ================================================================
// Case: a machine of the core is replaced as planned, the new one first, and just after the old one has left
// another machine of the core loses its disk.
// ================================================================

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

func replaced(ctx context.Context, r *record, trouble bool) (broken bool, err error) {
	const (
		old, lost, successor = 0, 1, 3
		first, second        = 7, 8
	)
	d, err := newDeployment(r, 3, 3)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(ctx, first); err != nil {
		return false, err
	}
	time.Sleep(startupWait)
	if err := d.startControl(successor, false); err != nil {
		return false, err
	}
	d.joined = 1
	time.Sleep(catchUp + time.Second)
	r.say("%s has run for more than catch_up_s; %s leaves for good", controlName(successor), controlName(old))
	d.signal(controlName(old), syscall.SIGTERM)
	d.wait(controlName(old))
	d.gone = map[int]bool{old: true}
	by, err := d.put(ctx, lost, configuration(second))
	if err != nil {
		return false, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	r.say("configuration %d is acknowledged by %s", second, controlName(by))
	if trouble {
		if err := d.loseDisk(lost); err != nil {
			return false, err
		}
	}
	r.say("the operator waits for recover_s and reads the configuration back")
	time.Sleep(recoverBound)
	return d.readBack(ctx, second), nil
}
