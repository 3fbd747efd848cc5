// ================================================================
// The store: the files of a member in the data folder.
//
//	identity     the incarnation, written once when the folder is formatted
//	snapshot     the last snapshot
//	log-0000002  the records after it; a higher number replaces a lower one
// ================================================================

package controllog

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	identityFile = "identity"
	snapshotFile = "snapshot"
	logPrefix    = "log-"
)

// Store keeps a member's log on disk. It must be used by one goroutine at a time.
//
// After a failed or short write the content of the disk is unknown. The store
// then refuses all writes; only a restart, which reads the files again, ends this.
type Store struct {
	folder     *disk.Folder
	file       *disk.File
	sequence   uint64 // the number of the current log file
	writeError error
}

// Repair describes a torn write that was truncated when a log was opened.
type Repair struct {
	File string
	// Bytes is the number of bytes removed; 0 means that there was no torn write.
	Bytes int
}

// LoadOrCreateIncarnation returns the incarnation of a data folder. An empty
// folder gets a new one, because it does not contain what the member that ran on
// the VM before may have stored.
func LoadOrCreateIncarnation(folder *disk.Folder) (uint64, error) {
	raw, err := folder.Read(identityFile)
	if errors.Is(err, os.ErrNotExist) {
		incarnation := vm.NewIncarnation()
		return incarnation, folder.Replace(identityFile, []byte(fmt.Sprintf("%x\n", incarnation)))
	}
	if err != nil {
		return 0, err
	}
	var incarnation uint64
	if _, err := fmt.Sscanf(string(raw), "%x", &incarnation); err != nil || incarnation == 0 {
		return 0, failure.New(failure.CorruptLog, "%s does not contain an incarnation", identityFile)
	}
	return incarnation, nil
}

// OpenStore reads the state in the folder and opens the log for writing.
func OpenStore(folder *disk.Folder) (*Store, StoredState, Repair, error) {
	s := &Store{folder: folder}
	var stored StoredState
	var repair Repair
	if err := s.readSnapshot(&stored); err != nil {
		return nil, stored, repair, err
	}
	name, err := s.newestLog()
	if err != nil {
		return nil, stored, repair, err
	}
	repair, err = s.readLog(name, &stored)
	return s, stored, repair, err
}

func (s *Store) readSnapshot(stored *StoredState) error {
	raw, err := s.folder.Read(snapshotFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	_, body, size, ok := parseRecord(raw)
	if !ok || size != len(raw) {
		return failure.New(failure.CorruptLog, "%s fails its checksum", snapshotFile)
	}
	return msgpack.Unmarshal(body, &stored.Snapshot)
}

// newestLog returns the name of the log file with the highest number; the others
// are left over from an interrupted compaction.
func (s *Store) newestLog() (string, error) {
	names, err := s.folder.List()
	if err != nil {
		return "", err
	}
	current := s.logName()
	for _, name := range names {
		if !strings.HasPrefix(name, logPrefix) {
			continue
		}
		if _, err := fmt.Sscanf(strings.TrimPrefix(name, logPrefix), "%d", &s.sequence); err != nil {
			return "", failure.New(failure.CorruptLog, "file name %q is not the name of a log file", name)
		}
		current = name
	}
	return current, nil
}

func (s *Store) logName() string { return fmt.Sprintf("%s%07d", logPrefix, s.sequence) }

func (s *Store) readLog(name string, stored *StoredState) (Repair, error) {
	raw, err := s.folder.Read(name)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return Repair{}, err
	}
	valid, err := readRecords(name, raw, stored.addRecord)
	if err != nil {
		return Repair{}, err
	}
	s.file, err = s.folder.Open(name)
	if err != nil {
		return Repair{}, err
	}
	repair := Repair{}
	if valid < len(raw) {
		if err := s.file.Truncate(int64(valid)); err != nil {
			return Repair{}, err
		}
		repair = Repair{File: name, Bytes: len(raw) - valid}
	}
	// After a process was killed between a write and its sync, the data just read
	// may be in the page cache only. Without this sync the member would
	// acknowledge entries to a leader that a power loss still removes. The sync
	// costs one disk write per start.
	return repair, s.file.Sync()
}

// addRecord adds a record of the log file to the state.
func (s *StoredState) addRecord(kind recordKind, body []byte) error {
	switch kind {
	case recordBase:
		var b logBase
		if err := msgpack.Unmarshal(body, &b); err != nil {
			return err
		}
		s.BaseIndex, s.BaseTerm = b.index, b.term
		return nil
	case recordHardState:
		return msgpack.Unmarshal(body, &s.HardState)
	case recordEntry:
		var e Entry
		if err := msgpack.Unmarshal(body, &e); err != nil {
			return err
		}
		return s.addEntry(e)
	default:
		return errors.Errorf("record of unknown kind %d", kind)
	}
}

// addEntry appends an entry. If its index is present already, it replaces that
// entry and all after it.
func (s *StoredState) addEntry(e Entry) error {
	next := s.BaseIndex + uint64(len(s.Entries)) + 1
	if e.index > next || e.index <= s.BaseIndex {
		return errors.Errorf("entry %d follows entry %d", e.index, next-1)
	}
	s.Entries = append(s.Entries[:e.index-s.BaseIndex-1], e)
	return nil
}

// ----------------------------------------------------------------
// Writing

// Save writes and syncs the entries and the hard state. The hard state is written
// if it changed, and also with any entries, so that the commit index on disk lags
// by at most one write.
func (s *Store) Save(hard HardState, changed bool, entries []Entry) error {
	if s.writeError != nil {
		return s.writeError
	}
	var buffer []byte
	var err error
	if changed || len(entries) > 0 {
		if buffer, err = appendRecord(buffer, recordHardState, hard); err != nil {
			return s.recordError(err)
		}
	}
	for _, e := range entries {
		if buffer, err = appendRecord(buffer, recordEntry, e); err != nil {
			return s.recordError(err)
		}
	}
	if len(buffer) == 0 {
		return nil
	}
	if err := s.file.Append(buffer); err != nil {
		return s.recordError(err)
	}
	return s.recordError(s.file.Sync())
}

// SaveSnapshot stores a snapshot and starts a new log file with the hard state
// and the entries that stay in the log.
func (s *Store) SaveSnapshot(snapshot Snapshot, hard HardState, baseIndex, baseTerm uint64, entries []Entry) error {
	if s.writeError != nil {
		return s.writeError
	}
	raw, err := appendRecord(nil, recordBase, snapshot)
	if err != nil {
		return s.recordError(err)
	}
	if err := s.folder.Replace(snapshotFile, raw); err != nil {
		return s.recordError(err)
	}
	return s.recordError(s.startLog(hard, logBase{baseIndex, baseTerm}, entries))
}

func (s *Store) startLog(hard HardState, b logBase, entries []Entry) error {
	buffer, err := appendRecord(nil, recordBase, b)
	if err == nil {
		buffer, err = appendRecord(buffer, recordHardState, hard)
	}
	for _, e := range entries {
		if err == nil {
			buffer, err = appendRecord(buffer, recordEntry, e)
		}
	}
	if err != nil {
		return err
	}
	old := s.logName()
	s.sequence++
	if err := s.folder.Replace(s.logName(), buffer); err != nil {
		return err
	}
	_ = s.file.Close()
	if s.file, err = s.folder.Open(s.logName()); err != nil {
		return err
	}
	return s.folder.Remove(old)
}

// recordError stores the first error, with which every later write fails.
func (s *Store) recordError(err error) error {
	if err != nil && s.writeError == nil {
		s.writeError = err
	}
	return err
}

// Close closes the log file.
func (s *Store) Close() error { return s.file.Close() }
