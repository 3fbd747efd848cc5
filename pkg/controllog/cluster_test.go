// ================================================================
// A simulated cluster in one goroutine: the real runners, stores and replicas,
// driven step by step. A test delivers, drops, duplicates and reorders the
// messages in flight. Simulated disks lose what was not synced.
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

// simulatedMember is a member of the simulated cluster.
type simulatedMember struct {
	self   Member
	disk   *disk.Memory
	runner *Runner           // nil while it is down
	paused bool              // it neither ticks nor receives messages
	values map[string]string // the state of its state machine
}

// simulatedCluster is the cluster, the faults in force, and the observations that the checks
// use.
type simulatedCluster struct {
	random          *rand.Rand
	faults          Faults
	skipSync        bool
	killBeforeSyncs bool // members are killed between write and sync
	members         []*simulatedMember
	inFlight        []Message
	blocked         map[[2]vm.ID]bool   // by sender and receiver
	applied         map[uint64]string   // applied commands by index
	leaders         map[uint64]MemberID // by term
	violation       string              // the first violation found, or ""
	step            int64               // the time of operations
	history         []*operation
	lastIncarnation int
}

// operation is a write or a read by a client.
type operation struct {
	read   bool
	key    string
	value  string
	call   int64
	end    int64 // 0 while there is no result
	failed bool  // it certainly did not take effect
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

// newMember starts a member with an empty disk and a new incarnation on a VM.
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

// folder returns the folder on the member's disk. With skipSync its syncs do nothing.
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

// processAllReady has a member perform its requested actions. A member whose disk
// fails is down from then on.
func (c *simulatedCluster) processAllReady(m *simulatedMember) {
	if err := m.runner.processAllReady(); err != nil {
		m.runner = nil
		return
	}
	c.checkLeader(m)
}

// checkLeader checks that a term has at most one leader.
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

func (c *simulatedCluster) running(m *simulatedMember) bool { return m.runner != nil && !m.paused }

func (c *simulatedCluster) tick(m *simulatedMember) {
	if c.running(m) {
		m.runner.replica.Tick()
		c.processAllReady(m)
	}
}

// deliver delivers the i-th message in flight. With keep it stays in flight as a
// duplicate.
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

// currentMember returns the latest incarnation of a VM.
func (c *simulatedCluster) currentMember(id vm.ID) *simulatedMember {
	for i := len(c.members) - 1; i >= 0; i-- {
		if c.members[i].self.ID() == id {
			return c.members[i]
		}
	}
	return nil
}

// crash ends a member's process and discards data that was not synced, except for a
// random number of bytes.
func (c *simulatedCluster) crash(m *simulatedMember) {
	if m.runner == nil {
		return
	}
	m.runner, m.paused = nil, false
	m.disk.Crash(c.random.IntN(40))
}

// replaceDisk crashes a member and starts a new incarnation with an empty disk on its VM.
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

// leader returns the running leader with the highest term, or nil.
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

// write proposes a write at a member, whatever its role.
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

// collectResults records the results that have arrived.
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
		o.end = 0 // it may still take effect
		o.reply = nil
	}
}

// recoverAll ends all faults and runs the cluster until operations have ended.
func (c *simulatedCluster) recoverAll() {
	c.blocked = map[[2]vm.ID]bool{}
	for _, m := range c.members {
		m.paused = false
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

// operationInput is the input of an operation for porcupine.
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

// linearizable reports whether the history of writes and reads is linearizable.
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

var errDiskFull = errors.New("the disk is full")
