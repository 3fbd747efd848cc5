// ================================================================
// The replicated state machine of the control log: it applies committed
// commands to the configuration and to the claims.
// ================================================================

// Package agreed applies the commands of the control log to the state that is
// replicated on all voters.
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

// CommandKind is the kind of a command.
type CommandKind uint8

// The kinds of commands. The numbers are stored in logs and are never reused.
const (
	// CommandChange changes the configuration; its body is a contract.Change.
	CommandChange CommandKind = iota + 1
	// CommandClaim claims a request; its body is a contract.Claim.
	CommandClaim
	// CommandClaimSettlement ends a claim; its body is a contract.ClaimSettlement.
	CommandClaimSettlement
)

// Command is the payload of a log entry.
//
//wire:generate
type Command struct {
	// kind selects the type of body.
	kind CommandKind
	// time is the leader's clock at the proposal, in nanoseconds since the Unix epoch.
	time int64
	// body is the encoded Change, Claim or ClaimSettlement.
	body []byte
}

// EncodeCommand returns an encoded command of the given kind, time and body.
func EncodeCommand(kind CommandKind, time int64, body any) ([]byte, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, failure.New(failure.Internal, "%T cannot be encoded: %v", body, err)
	}
	return msgpack.Marshal(NewCommand(kind, time, raw))
}

// machineSnapshot is the encoded form of the machine's state.
//
//wire:generate
type machineSnapshot struct {
	// time is the log time in nanoseconds since the Unix epoch.
	time int64
	// applied is the index of the last applied entry.
	applied uint64
	// config is the encoded configuration state.
	config []byte
	// claims is the encoded table of claims.
	claims []byte
}

// Machine holds the replicated state of one voter. Apply, Snapshot and Restore
// must be called from one goroutine; the configuration state and the claims may
// be read from any goroutine.
type Machine struct {
	config  *configstate.State
	claims  *claim.Table
	time    int64
	applied uint64
}

// NewMachine returns a machine without claims that applies changes to config.
func NewMachine(config *configstate.State) *Machine {
	return &Machine{config: config, claims: claim.NewTable()}
}

// Claims returns the table of claims.
func (m *Machine) Claims() *claim.Table { return m.claims }

// StateMachine returns the machine's functions in the form that the control log calls.
func (m *Machine) StateMachine() controllog.StateMachine {
	return controllog.StateMachine{Apply: m.Apply, Snapshot: m.Snapshot, Restore: m.Restore}
}

// appliers holds the function that applies each kind of command.
var appliers = map[CommandKind]func(*Machine, []byte) (any, error){
	CommandChange:          (*Machine).applyChange,
	CommandClaim:           (*Machine).applyClaim,
	CommandClaimSettlement: (*Machine).applyClaimSettlement,
}

// Apply applies the command of the entry at index. It returns a ChangeResult,
// a ClaimResult, a bool (for a ClaimSettlement) or an error.
func (m *Machine) Apply(index uint64, data []byte) any {
	if err := invariant.Check(index > m.applied, "log_applied_twice", "index %d after %d", index, m.applied); err != nil {
		return err
	}
	m.applied = index
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return failure.New(failure.BadRequest, "the command of entry %d cannot be decoded: %v", index, err)
	}
	// The log time never decreases, even if a new leader's clock is behind the old one's.
	m.time = max(m.time, c.time)
	apply := appliers[c.kind]
	if apply == nil {
		return failure.New(failure.BadRequest, "the command of entry %d has the unknown kind %d", index, c.kind)
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
		return nil, failure.New(failure.BadRequest, "a change cannot be decoded: %v", err)
	}
	return m.config.ApplyChange(c), nil
}

func (m *Machine) applyClaim(body []byte) (any, error) {
	var c contract.Claim
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return nil, failure.New(failure.BadRequest, "a claim cannot be decoded: %v", err)
	}
	return m.claims.Acquire(c, m.time), nil
}

func (m *Machine) applyClaimSettlement(body []byte) (any, error) {
	var s contract.ClaimSettlement
	if err := msgpack.Unmarshal(body, &s); err != nil {
		return nil, failure.New(failure.BadRequest, "the outcome of a claim cannot be decoded: %v", err)
	}
	return m.claims.Settle(s, m.time), nil
}

// Snapshot returns the encoded state.
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

// Restore replaces the state by one that Snapshot returned.
func (m *Machine) Restore(state []byte) error {
	var s machineSnapshot
	if err := msgpack.Unmarshal(state, &s); err != nil {
		return failure.New(failure.CorruptLog, "a snapshot cannot be decoded: %v", err)
	}
	m.time, m.applied = s.time, s.applied
	if err := m.config.Restore(s.config); err != nil {
		return err
	}
	return m.claims.Restore(s.claims)
}
