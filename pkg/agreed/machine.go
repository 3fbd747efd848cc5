// ================================================================
// The state machine behind the control log: commands in, the configuration
// and the claims out.
// ================================================================

// Package agreed applies the commands of the control log to the state that
// all voters share.
package agreed

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/claim"
	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/invariant"
)

// CommandKind says what a command does.
type CommandKind uint8

// The kinds of commands. Numbers stand in logs and are never reused.
const (
	CommandChange CommandKind = iota + 1
	CommandClaim
	CommandSettle
)

// Command is what stands in an entry of the log.
//
//wire:generate
type Command struct {
	// kind says what body is.
	kind CommandKind
	// time is the leader's clock in nanoseconds since 1970.
	time int64
	// body is the encoded Change, Claim or Settle.
	body []byte
}

// EncodeCommand returns a command, encoded.
func EncodeCommand(kind CommandKind, time int64, body any) ([]byte, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, failure.New(failure.Internal, "a %T cannot be encoded: %v", body, err)
	}
	return msgpack.Marshal(NewCommand(kind, time, raw))
}

// machineSnapshot is the machine's state in a snapshot.
//
//wire:generate
type machineSnapshot struct {
	// time is the log's time.
	time int64
	// applied is the last index applied.
	applied uint64
	// config and claims are the parts, encoded.
	config []byte
	claims []byte
}

// Machine holds the agreed state of one voter. Apply, Snapshot and Restore are
// called from one goroutine; the parts may be read from any.
type Machine struct {
	config  *configstate.State
	claims  *claim.Table
	time    int64
	applied uint64
}

// NewMachine returns an empty machine over the given configuration.
func NewMachine(config *configstate.State) *Machine {
	return &Machine{config: config, claims: claim.NewTable()}
}

// Claims returns the claims.
func (m *Machine) Claims() *claim.Table { return m.claims }

// StateMachine returns the machine as the control log calls it.
func (m *Machine) StateMachine() controllog.StateMachine {
	return controllog.StateMachine{Apply: m.Apply, Snapshot: m.Snapshot, Restore: m.Restore}
}

// appliers is the table of commands.
var appliers = map[CommandKind]func(*Machine, []byte) (any, error){
	CommandChange: (*Machine).applyChange,
	CommandClaim:  (*Machine).applyClaim,
	CommandSettle: (*Machine).applySettle,
}

// Apply applies the entry at index and returns a ChangeResult, a ClaimResult,
// a bool for a Settle, or an error.
func (m *Machine) Apply(index uint64, data []byte) any {
	if err := invariant.Check(index > m.applied, "log_applied_twice", "index %d after %d", index, m.applied); err != nil {
		return err
	}
	m.applied = index
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return failure.New(failure.BadRequest, "entry %d holds no command: %v", index, err)
	}
	// The log's time never runs back, whatever the leaders' clocks do.
	m.time = max(m.time, c.time)
	apply := appliers[c.kind]
	if apply == nil {
		return failure.New(failure.BadRequest, "entry %d holds a command of unknown kind %d", index, c.kind)
	}
	value, err := apply(m, c.body)
	if err != nil {
		return err
	}
	return value
}

func (m *Machine) applyChange(body []byte) (any, error) {
	var c contract.Change
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return nil, failure.New(failure.BadRequest, "a change cannot be read: %v", err)
	}
	return m.config.ApplyChange(c), nil
}

func (m *Machine) applyClaim(body []byte) (any, error) {
	var c contract.Claim
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return nil, failure.New(failure.BadRequest, "a claim cannot be read: %v", err)
	}
	return m.claims.Acquire(c, m.time), nil
}

func (m *Machine) applySettle(body []byte) (any, error) {
	var s contract.Settle
	if err := msgpack.Unmarshal(body, &s); err != nil {
		return nil, failure.New(failure.BadRequest, "an outcome cannot be read: %v", err)
	}
	return m.claims.Settle(s, m.time), nil
}

// Snapshot returns the whole state, encoded.
func (m *Machine) Snapshot() ([]byte, error) {
	config, err := m.config.Snapshot()
	if err != nil {
		return nil, err
	}
	claims, err := m.claims.Snapshot()
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(machineSnapshot{time: m.time, applied: m.applied, config: config, claims: claims})
}

// Restore replaces the whole state.
func (m *Machine) Restore(state []byte) error {
	var i machineSnapshot
	if err := msgpack.Unmarshal(state, &i); err != nil {
		return failure.New(failure.CorruptLog, "a snapshot cannot be read: %v", err)
	}
	m.time, m.applied = i.time, i.applied
	if err := m.config.Restore(i.config); err != nil {
		return err
	}
	return m.claims.Restore(i.claims)
}
