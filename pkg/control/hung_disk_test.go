package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/event"
)

// Guards against gateways that get no configuration: the control log blocks on a disk that hangs, and its last
// state, in which this node led, was taken for contact with a quorum for as long as that lasted. Gateways then
// follow no other nodes, although the others have elected a leader.
func TestLeaderWhoseDiskHangsConfirmsNoQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hangs atomic.Bool
		resumed := make(chan struct{})
		storage := disk.NewMemory()
		storage.FailSync = func(string) error {
			if hangs.Load() {
				<-resumed
			}
			return nil
		}
		m, stop := newBootstrappedMember(t, storage)
		defer stop()
		time.Sleep(quorumValidity)
		if !m.quorumConfirmed() || m.leaderAddress() == "" {
			t.Fatal("a sole voter with a working disk confirms no quorum")
		}
		hangs.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
		defer cancel()
		if _, err := m.runner.Load().Propose(ctx, nil); err == nil {
			t.Fatal("a change was committed without the disk")
		}
		time.Sleep(2 * quorumValidity)
		if m.quorumConfirmed() {
			t.Error("a quorum is confirmed 3 s after the control log has blocked")
		}
		if address := m.leaderAddress(); address != "" {
			t.Errorf("calls are forwarded to %q, the leader before the control log blocked", address)
		}
		close(resumed)
		time.Sleep(quorumValidity)
		if !m.quorumConfirmed() {
			t.Error("no quorum is confirmed after the disk works again")
		}
	})
}

// newBootstrappedMember returns the running sole voter of a control log.
func newBootstrappedMember(t *testing.T, storage *disk.Memory) (m *member, stop func()) {
	t.Helper()
	self := controllog.NewMember("control-1", 1, "10.0.0.1:7700", false, "")
	runner, err := controllog.NewRunner(controllog.RunnerConfig{
		Self: self, Folder: storage.Folder(), Machine: NewState(func() {}).StateMachine(), Send: func(controllog.MemberID, string, controllog.Message) {},
		Record: func(event.Kind, string, string) {}, Logger: log.NewNopLogger(), ElectionTicks: electionTicks,
	})
	if err != nil {
		t.Fatal(err)
	}
	m = &member{config: memberConfig{seeds: func() []string { return nil }, logger: log.NewNopLogger()}, started: time.Now()}
	m.self.Store(&self)
	m.runner.Store(runner)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = runner.Run(ctx) }()
	if err := runner.Bootstrap(ctx); err != nil {
		t.Fatal(err)
	}
	go m.manageMembership(ctx)
	return m, func() {
		cancel()
		<-runner.Done()
	}
}
