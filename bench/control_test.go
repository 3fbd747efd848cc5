//go:build bench

// ================================================================
// Benches of the control log: real runners with real disks, whose messages are
// delivered in memory. Rates depend on the machine, so only compare those of one
// run.
// ================================================================

package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/agreed"
	"github.com/tidepost/tidepost/pkg/bus"
	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

// logCluster is a set of control log runners that deliver messages to each other in memory.
type logCluster struct {
	mu      sync.Mutex
	runners map[controllog.MemberID]*controllog.Runner
	cancel  context.CancelFunc
}

func (c *logCluster) send(to controllog.MemberID, _ string, m controllog.Message) {
	c.mu.Lock()
	r := c.runners[to]
	c.mu.Unlock()
	if r != nil {
		r.Deliver(m)
	}
}

func newLogCluster(t *testing.T, voters int, snapshotEvery uint64) (*logCluster, *controllog.Runner) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &logCluster{runners: map[controllog.MemberID]*controllog.Runner{}, cancel: cancel}
	var first *controllog.Runner
	for i := range voters {
		self := controllog.NewMember(vm.ID(fmt.Sprint("entry-", i)), uint64(i+1), fmt.Sprint(i), false, "")
		r := newRunner(t, filepath.Join(t.TempDir(), fmt.Sprint(i)), self, c.send, snapshotEvery)
		c.mu.Lock()
		c.runners[self.MemberID()] = r
		c.mu.Unlock()
		go func() { _ = r.Run(ctx) }()
		if i == 0 {
			first = r
			if err := r.Bootstrap(ctx); err != nil {
				t.Fatal(err)
			}
			continue
		}
		for first.AddMember(ctx, self) != nil {
			time.Sleep(20 * time.Millisecond)
		}
		for promoted := false; !promoted; time.Sleep(20 * time.Millisecond) {
			for _, v := range first.State().Members {
				promoted = promoted || v.MemberID() == self.MemberID() && !v.Learner()
			}
		}
	}
	t.Cleanup(func() {
		cancel()
		for _, r := range c.runners {
			<-r.Done()
		}
	})
	return c, first
}

func newRunner(t *testing.T, path string, self controllog.Member, send func(controllog.MemberID, string, controllog.Message), snapshotEvery uint64) *controllog.Runner {
	folder, err := disk.NewFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = folder.Close() })
	r, err := controllog.NewRunner(controllog.RunnerConfig{
		Self: self, Folder: folder, Machine: agreed.NewMachine(configstate.NewState()).StateMachine(), Send: send,
		Record: func(event.Kind, string, string) {}, Logger: log.NewNopLogger(), SnapshotEvery: snapshotEvery,
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func labelChange(i int, base uint64) contract.Change {
	o, err := contract.EncodeObject(contract.KindLabels, fmt.Sprint("vm-", i%2200), contract.NewLabelSet(vm.Labels{"n": fmt.Sprint(i)}, nil))
	if err != nil {
		panic(err)
	}
	return contract.NewChange(fmt.Sprint("change-", i), "ann", base, []contract.Object{o}, contract.Digest{})
}

func command(kind agreed.CommandKind, body any) []byte {
	raw, err := agreed.EncodeCommand(kind, time.Now().UnixNano(), body)
	if err != nil {
		panic(err)
	}
	return raw
}

// proposalRate proposes commands from concurrent callers for a second. It returns the accepted
// proposals per second and the mean latency of one.
func proposalRate(r *controllog.Runner, callers int, newCommand func(i int) []byte) (float64, time.Duration) {
	const duration = time.Second
	var wait sync.WaitGroup
	var mu sync.Mutex
	accepted, i := 0, 0
	began := time.Now()
	for range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Since(began) < duration {
				mu.Lock()
				i++
				n := i
				mu.Unlock()
				if _, err := r.Propose(context.Background(), newCommand(n)); err == nil {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		}()
	}
	wait.Wait()
	perSecond := float64(accepted) / time.Since(began).Seconds()
	return perSecond, time.Duration(float64(callers) / perSecond * float64(time.Second))
}

func TestControlRates(t *testing.T) {
	oneVoter := 0.0
	for _, voters := range []int{1, 3, 5} {
		_, leader := newLogCluster(t, voters, 0)
		single, latency := proposalRate(leader, 1, func(i int) []byte { return command(agreed.CommandChange, labelChange(i, 1<<40)) })
		batched, _ := proposalRate(leader, 64, func(i int) []byte { return command(agreed.CommandChange, labelChange(1000000+i, 1<<40)) })
		claims, _ := proposalRate(leader, 64, func(i int) []byte {
			return command(agreed.CommandClaim, contract.NewClaim("larder", fmt.Sprint("order-", i), fmt.Sprint(i), digest, time.Now().Add(time.Hour).UnixNano()))
		})
		if oneVoter == 0 {
			oneVoter = single
		}
		fmt.Printf("control voters=%d acceptance_ms=%.2f against_one_voter=%.2f batched_against_single=%.1f claims_against_changes=%.2f (changes/s single=%.0f batched=%.0f claims/s=%.0f)\n",
			voters, float64(latency.Microseconds())/1000, single/oneVoter, batched/single, claims/batched, single, batched, claims)
	}
}

func TestControlRestart(t *testing.T) {
	for _, changes := range []int{1000, 10000} {
		for _, snapshotEvery := range []uint64{controllog.DefaultSnapshotEvery, 1 << 40} {
			path := filepath.Join(t.TempDir(), "voter")
			self := controllog.NewMember("entry-0", 1, "0", false, "")
			writeChanges(t, path, self, changes, snapshotEvery)
			began := time.Now()
			ctx, cancel := context.WithCancel(context.Background())
			r := newRunner(t, path, self, func(controllog.MemberID, string, controllog.Message) {}, snapshotEvery)
			go func() { _ = r.Run(ctx) }()
			for r.ConfirmedRead(ctx) != nil {
				time.Sleep(time.Millisecond)
			}
			took := time.Since(began)
			cancel()
			<-r.Done()
			size := int64(0)
			files, _ := os.ReadDir(path)
			for _, f := range files {
				if info, err := f.Info(); err == nil {
					size += info.Size()
				}
			}
			fmt.Printf("control restart changes=%d snapshots=%t seconds=%.3f folder_KiB=%d\n", changes, snapshotEvery < 1<<40, took.Seconds(), size/1024)
		}
	}
}

// writeChanges fills the folder at path with the control log of one voter after so many changes.
func writeChanges(t *testing.T, path string, self controllog.Member, changes int, snapshotEvery uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	folder, err := disk.NewFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	r, err := controllog.NewRunner(controllog.RunnerConfig{
		Self: self, Folder: folder, Machine: agreed.NewMachine(configstate.NewState()).StateMachine(),
		Send: func(controllog.MemberID, string, controllog.Message) {}, Record: func(event.Kind, string, string) {},
		Logger: log.NewNopLogger(), SnapshotEvery: snapshotEvery,
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = r.Run(ctx) }()
	if err := r.Bootstrap(ctx); err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	for w := range 64 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := w; i < changes; i += 64 {
				if _, err := r.Propose(ctx, command(agreed.CommandChange, labelChange(i, 1<<40))); err != nil {
					t.Error(err)
				}
			}
		}()
	}
	wait.Wait()
	cancel()
	<-r.Done()
	_ = folder.Close()
}

// Measures the time from a change's acceptance until every follower has it in force, over real links
// on loopback.
func TestControlInForce(t *testing.T) {
	for _, n := range []int{12, 100, 400} {
		ctx, cancel := context.WithCancel(context.Background())
		clock := event.NewClock(time.Now)
		endpoint := func(name string) *link.Endpoint {
			return link.NewEndpoint(link.Config{Self: vm.NewIdentity(vm.ID(name), 1, "", "", ""), Clock: clock, Logger: log.NewNopLogger()})
		}
		state := newConfiguration(2200)
		distributor := configstate.NewDistributor(state, func() bool { return true })
		server := endpoint("entry")
		server.HandleTopic(link.KindSubscribe, bus.TopicConfig, distributor.Serve)
		address := serveOnLoopback(t, ctx, server)
		var followers []*configstate.State
		for i := range n {
			s := configstate.NewState()
			f := configstate.Follower{Endpoint: endpoint(fmt.Sprint("agent-", i)), State: s,
				Addresses: func() []string { return []string{address} }, OnMessage: func(bool) {}}
			go func() { _ = f.Run(ctx) }()
			followers = append(followers, s)
		}
		awaitRevision(followers, 1)
		const rounds = 10
		used, began := processorTime(), time.Now()
		var total time.Duration
		for i := range rounds {
			at := time.Now()
			result := state.ApplyChange(labelChange(i, state.Revision()))
			awaitRevision(followers, result.Revision())
			total += time.Since(at)
		}
		_ = began
		fmt.Printf("control in_force receivers=%d mean_ms=%.1f processor_ms_per_receiver=%.3f\n", n,
			float64(total.Microseconds())/1000/rounds, float64((processorTime()-used).Microseconds())/1000/rounds/float64(n))
		cancel()
		server.Close()
	}
}

// awaitRevision polls until every state has reached the revision.
func awaitRevision(states []*configstate.State, revision uint64) {
	for _, s := range states {
		for s.Revision() < revision {
			time.Sleep(200 * time.Microsecond)
		}
	}
}
