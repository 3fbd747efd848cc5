// ================================================================
// A cluster of members in one goroutine: the real runners, stores and
// replicas, driven step by step. Messages wait in a list from which a test
// delivers, drops, doubles and reorders; disks lose what was not synced.
// ================================================================

package controllog

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"github.com/anishathalye/porcupine"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/vm"
)

// simulatedMember is one member.
type simulatedMember struct {
	self   Member
	disk   *disk.Memory
	runner *Runner // nil while it is down
	frozen bool
	values map[string]string
}

// simulatedCluster is the cluster and what is checked of it.
type simulatedCluster struct {
	random          *rand.Rand
	faults          Faults
	skipSync        bool
	killBeforeSyncs bool // members die between write and sync
	members         []*simulatedMember
	inFlight        []Message
	blocked         map[[2]vm.ID]bool
	applied         map[uint64]string
	leaders         map[uint64]MemberID
	violation       string
	step            int64
	history         []*operation
	lastIncarnation int
}

// operation is a write or a read of a client.
type operation struct {
	read   bool
	key    string
	value  string
	call   int64
	end    int64 // 0 while it is open
	failed bool  // it certainly did not happen
	reply  chan result
	member *simulatedMember
}

func newSimulatedCluster(random *rand.Rand, size int, faults Faults, skipSync bool) *simulatedCluster {
	c := &simulatedCluster{
		random: random, faults: faults, skipSync: skipSync,
		blocked: map[[2]vm.ID]bool{}, applied: map[uint64]string{}, leaders: map[uint64]MemberID{},
	}
	for i := range size {
		c.newMember(vm.ID(fmt.Sprintf("entry-%d", i+1)))
	}
	return c
}

// newMember formats a disk for a VM and starts a member on it.
func (c *simulatedCluster) newMember(id vm.ID) *simulatedMember {
	c.lastIncarnation++
	m := &simulatedMember{self: NewMember(id, uint64(c.lastIncarnation), string(id), false, ""), disk: disk.NewMemory()}
	c.members = append(c.members, m)
	c.start(m)
	return m
}

func (c *simulatedCluster) start(m *simulatedMember) {
	m.disk.FailSync = nil
	m.values = map[string]string{}
	runner, err := NewRunner(RunnerConfig{
		Self:          m.self,
		Folder:        c.folder(m),
		Machine:       c.machine(m),
		Send:          func(_ MemberID, _ string, msg Message) { c.inFlight = append(c.inFlight, msg) },
		Record:        func(event.Kind, string, string) {},
		Logger:        log.NewNopLogger(),
		SnapshotEvery: 20,
		Seed:          c.random.Uint64(),
		Faults:        c.faults,
	})
	if err != nil {
		c.fail("start of %s: %v", m.self.MemberID(), err)
		return
	}
	m.runner = runner
}

// folder returns the member's disk, whose syncs do nothing under skipSync.
func (c *simulatedCluster) folder(m *simulatedMember) *disk.Folder {
	f := m.disk.Folder()
	if !c.skipSync {
		return f
	}
	open := f.Open
	f.Open = func(name string) (*disk.File, error) {
		file, err := open(name)
		if err == nil {
			file.Sync = func() error { return nil }
		}
		return file, err
	}
	return f
}

func (c *simulatedCluster) machine(m *simulatedMember) StateMachine {
	return StateMachine{
		Apply: func(index uint64, data []byte) any {
			if old, ok := c.applied[index]; ok && old != string(data) {
				c.fail("entry %d is %q at %s and %q elsewhere", index, data, m.self.MemberID(), old)
			}
			c.applied[index] = string(data)
			key, value, _ := strings.Cut(string(data), "=")
			m.values[key] = value
			return nil
		},
		Snapshot: func() ([]byte, error) { return []byte(encodeValues(m.values)), nil },
		Restore: func(state []byte) error {
			m.values = decodeValues(string(state))
			return nil
		},
	}
}

func encodeValues(values map[string]string) string {
	var lines []string
	for k, v := range values {
		lines = append(lines, k+"="+v)
	}
	return strings.Join(lines, "\n")
}

func decodeValues(text string) map[string]string {
	values := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(line, "="); ok {
			values[key] = value
		}
	}
	return values
}

func (c *simulatedCluster) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

// ----------------------------------------------------------------
// Events

// processAllReady has a member do what it wants done. A member whose disk fails is
// down from then on.
func (c *simulatedCluster) processAllReady(m *simulatedMember) {
	if err := m.runner.processAllReady(); err != nil {
		m.runner = nil
		return
	}
	c.checkLeader(m)
}

// checkLeader asserts that a term has one leader at most.
func (c *simulatedCluster) checkLeader(m *simulatedMember) {
	r := m.runner.replica
	if r.Role() != Leader {
		return
	}
	if other, ok := c.leaders[r.Term()]; ok && other != m.self.MemberID() {
		c.fail("term %d has the leaders %s and %s", r.Term(), other, m.self.MemberID())
	}
	c.leaders[r.Term()] = m.self.MemberID()
}

func (c *simulatedCluster) running(m *simulatedMember) bool { return m.runner != nil && !m.frozen }

func (c *simulatedCluster) tick(m *simulatedMember) {
	if c.running(m) {
		m.runner.replica.Tick()
		c.processAllReady(m)
	}
}

// deliver hands the i-th waiting message over; keep leaves a double behind.
func (c *simulatedCluster) deliver(i int, keep bool) {
	m := c.inFlight[i]
	if !keep {
		c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	}
	to := c.currentMember(m.to.VM())
	if to == nil || !c.running(to) || c.blocked[[2]vm.ID{m.from.VM(), m.to.VM()}] {
		return
	}
	if err := to.runner.replica.Step(m); err != nil {
		c.fail("%s: %v", to.self.MemberID(), err)
		return
	}
	c.processAllReady(to)
}

// currentMember returns the present life of a VM.
func (c *simulatedCluster) currentMember(id vm.ID) *simulatedMember {
	for i := len(c.members) - 1; i >= 0; i-- {
		if c.members[i].self.ID() == id {
			return c.members[i]
		}
	}
	return nil
}

func (c *simulatedCluster) crash(m *simulatedMember) {
	if m.runner == nil {
		return
	}
	m.runner, m.frozen = nil, false
	m.disk.Crash(c.random.IntN(40))
}

// replaceDisk replaces a VM's disk: the old life is gone for good.
func (c *simulatedCluster) replaceDisk(m *simulatedMember) *simulatedMember {
	c.crash(m)
	for i, other := range c.members {
		if other == m {
			c.members = append(c.members[:i:i], c.members[i+1:]...)
			break
		}
	}
	return c.newMember(m.self.ID())
}

func (c *simulatedCluster) leader() *simulatedMember {
	var best *simulatedMember
	for _, m := range c.members {
		if c.running(m) && m.runner.replica.Role() == Leader {
			if best == nil || m.runner.replica.Term() > best.runner.replica.Term() {
				best = m
			}
		}
	}
	return best
}

// write proposes at a member, whatever it is.
func (c *simulatedCluster) write(m *simulatedMember, key, value string) {
	o := &operation{key: key, value: value, call: c.step, reply: make(chan result, 1), member: m}
	c.history = append(c.history, o)
	m.runner.handleRequest(request{data: []byte(key + "=" + value), reply: o.reply})
	c.processAllReady(m)
}

// read asks a member for a confirmed read.
func (c *simulatedCluster) read(m *simulatedMember, key string) {
	o := &operation{read: true, key: key, call: c.step, reply: make(chan result, 1), member: m}
	c.history = append(c.history, o)
	m.runner.handleRequest(request{read: true, reply: o.reply})
	c.processAllReady(m)
}

// collectResults notes the answers that have come.
func (c *simulatedCluster) collectResults() {
	for _, o := range c.history {
		if o.end != 0 {
			continue
		}
		select {
		case r := <-o.reply:
			c.finish(o, r)
		default:
		}
	}
}

func (c *simulatedCluster) finish(o *operation, r result) {
	o.end = c.step
	switch {
	case r.err == nil && o.read:
		o.value = o.member.values[o.key]
	case r.err == nil:
	case o.read || strings.Contains(r.err.Error(), "not_leader") || strings.Contains(r.err.Error(), "not_formed") || strings.Contains(r.err.Error(), "overloaded"):
		o.failed = true
	default:
		o.end = 0 // it may still happen
		o.reply = nil
	}
}

// recoverAll ends all faults and lets the cluster come to rest.
func (c *simulatedCluster) recoverAll() {
	c.blocked = map[[2]vm.ID]bool{}
	for _, m := range c.members {
		m.frozen = false
		if m.runner == nil {
			c.start(m)
		}
	}
	for range 400 {
		c.step++
		for _, m := range c.members {
			c.tick(m)
		}
		for n := len(c.inFlight); n > 0 && len(c.inFlight) > 0; n-- {
			c.deliver(0, false)
		}
		c.collectResults()
	}
}

// ----------------------------------------------------------------
// Checks

// operationInput is an operation as porcupine takes it.
type operationInput struct {
	read  bool
	key   string
	value string
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			byKey[o.Input.(operationInput).key] = append(byKey[o.Input.(operationInput).key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		i := in.(operationInput)
		if i.read {
			return out.(string) == state.(string), state
		}
		return true, i.value
	},
}

// linearizable tells whether the history of writes and reads is.
func (c *simulatedCluster) linearizable() bool {
	var history []porcupine.Operation
	for client, o := range c.history {
		if o.failed || o.read && o.end == 0 {
			continue
		}
		end := o.end
		if end == 0 {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			ClientId: client, Input: operationInput{o.read, o.key, o.value}, Call: 2 * o.call, Output: o.value, Return: max(end, 2*o.end+1),
		})
	}
	return porcupine.CheckOperations(registerModel, history)
}

var errDisk = errors.New("the disk is full")
