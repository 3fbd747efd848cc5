package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// orderDelay is after which time the first engine takes the order for version 2.
	orderDelay = 3300 * time.Millisecond
	// killDelay is the time from the arrival of that order to the kill of the stager, which is down for darkTime.
	killDelay = 80 * time.Millisecond
	darkTime  = 3500 * time.Millisecond
	// allowedBad is for how long a piece may have been bad when its layer is taken.
	allowedBad = 3 * time.Second

	lateOrderLength = 30 * time.Second
)

// playLateOrder names a second version. The first engine takes its order late; meanwhile its stager is killed, and one
// of the staged pieces turns bad.
func playLateOrder(d *deployment, trouble bool) outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	origin := &standin.Origin{ChunkTime: 25 * time.Millisecond}
	d.serve(ctx, origin.Run, d.address(plainClass, 9, workerPort))
	runLog := standin.NewRunLog()
	arrived := make(chan struct{}, 1)
	var orders atomic.Int64
	engines := d.startStandins(ctx, runLog, func(i int, e *standin.Engine) {
		if i > 0 {
			return
		}
		e.OrderDelay = func() time.Duration {
			if orders.Add(1) > 1 {
				return 0
			}
			d.note("%s: an order has come, and is taken %s later", e.Instance, orderDelay)
			arrived <- struct{}{}
			return orderDelay
		}
	})
	if err := d.startPrograms(3, manifestEngines); err != nil {
		return failed
	}
	operator := standin.Operator{ControlNodes: d.controlAddresses(), Origin: d.address(plainClass, 9, workerPort)}
	name := func(version uint64) bool {
		origin.Publish(version)
		err := operator.SetWeightsVersion(ctx, version)
		d.note("operator: version %d of the weights is named and acknowledged: %v", version, err == nil)
		return err == nil
	}
	if operator.Configure(ctx, engineFigures) != nil || !name(standin.FirstVersion) {
		return failed
	}
	for i := range 3 {
		if !awaitReady(d.address(frontClass, i, readyPort), 20*time.Second) {
			return failed
		}
	}
	time.Sleep(3 * time.Second)
	go func() {
		<-arrived
		if trouble {
			d.killStagerAndSpoil(engines[0])
		}
	}()
	results := &callResults{}
	loadCtx, endLoad := context.WithTimeout(ctx, lateOrderLength)
	defer endLoad()
	time.AfterFunc(2*time.Second, func() { name(2) })
	results.load(loadCtx, d)
	if orders.Load() == 0 {
		return failed
	}
	return d.judgeWhole(runLog)
}

// killStagerAndSpoil kills the stager of the first engine, has one of the engine's staged pieces turn bad, and starts
// the stager again.
func (d *deployment) killStagerAndSpoil(e *standin.Engine) {
	time.Sleep(killDelay)
	d.kill("side-1")
	const once = 10 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), once+once/2)
	defer cancel()
	e.CorruptChunks(ctx, once, rand.New(rand.NewPCG(1, 1)))
	d.note("%s: one staged piece has turned bad", e.Instance)
	time.Sleep(darkTime)
	if err := d.startStager(0); err != nil {
		d.note("%v", err)
	}
}

// judgeWhole checks WHOLE for the runs of engines.
func (d *deployment) judgeWhole(runLog *standin.RunLog) outcome {
	for _, l := range runLog.Loads() {
		d.note("%s took an order for version %d; its piece %d had been bad for %s", l.Instance(), l.Version(), l.Chunk(), l.BadFor())
	}
	runs, bad := runLog.RunStarts(), 0
	for _, r := range runs {
		if r.BadFor > allowedBad {
			bad++
			d.note("WHOLE: %s ran on version %d with a piece that had been bad for %s when it was taken", r.ID, r.Version, r.BadFor)
		}
	}
	d.note("%d runs, %d of them on layers that were taken with a piece bad for longer than %s", len(runs), bad, allowedBad)
	if bad > 0 {
		return broken
	}
	return held
}
