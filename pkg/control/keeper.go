// ================================================================
// Which requests are kept away from servers outlives a loss of power of all machines:
// each control node keeps it on its disk, and tells it again when it starts. Where it was
// lost, such a request would end three more servers.
//
// No quorum agrees on it. Records are merged by union whoever tells them, so a disk that
// is behind does no harm; and what only suspects a request is not kept.
// ================================================================

package control

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/quarantine"
)

const (
	// quarantineFile is the file in the data folder: some 200 bytes a request.
	quarantineFile = "quarantine"
	// quarantineWriteInterval is the time between two looks whether something has changed.
	quarantineWriteInterval = time.Second
)

// quarantineStore keeps the records of barred requests on the disk.
type quarantineStore struct {
	table        *quarantine.Table
	mergeRecords func(records []quarantine.Record)
	logger       log.Logger

	mu      sync.Mutex
	folder  *disk.Folder // nil while there is no disk
	changed bool         // since it was written
}

// setFolder takes a folder that was opened, and reads what it holds.
func (k *quarantineStore) setFolder(folder *disk.Folder) {
	records, err := readBarred(folder)
	if err != nil {
		// It is written anew with the next change, and others tell the same.
		_ = level.Warn(k.logger).Log("msg", "barred requests cannot be read", "err", err)
	}
	k.mu.Lock()
	k.folder, k.changed = folder, true
	k.mu.Unlock()
	k.mergeRecords(records)
}

// clearFolder gives the folder up: it is closed afterwards.
func (k *quarantineStore) clearFolder() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.folder = nil
}

func readBarred(folder *disk.Folder) (records []quarantine.Record, err error) {
	raw, err := folder.Read(quarantineFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return records, msgpack.Unmarshal(raw, &records)
}

// markChanged notes that records have changed; those that bar nothing are not kept.
func (k *quarantineStore) markChanged(changed []quarantine.Record) {
	for _, r := range changed {
		if r.IsQuarantined() || len(r.CompletedOn()) > 0 {
			k.mu.Lock()
			k.changed = true
			k.mu.Unlock()
			return
		}
	}
}

// run writes what has changed until the context ends.
func (k *quarantineStore) run(ctx context.Context) error {
	return daemon.Every(ctx, quarantineWriteInterval, func() {
		if err := k.writeIfChanged(); err != nil {
			_ = level.Warn(k.logger).Log("msg", "barred requests cannot be kept", "err", err)
		}
	})
}

// writeIfChanged writes the records of barred requests if something has changed.
func (k *quarantineStore) writeIfChanged() error {
	k.mu.Lock()
	folder, due := k.folder, k.changed && k.folder != nil
	k.changed = k.changed && !due
	k.mu.Unlock()
	if !due {
		return nil
	}
	var barred []quarantine.Record
	for _, r := range k.table.Records() {
		if r.IsQuarantined() {
			barred = append(barred, r)
		}
	}
	err := writeBarred(folder, barred)
	if err != nil {
		k.mu.Lock()
		k.changed = true
		k.mu.Unlock()
	}
	return err
}

// writeBarred writes records. Where there never were any, no file is made.
func writeBarred(folder *disk.Folder, barred []quarantine.Record) error {
	if len(barred) == 0 {
		if _, err := folder.Read(quarantineFile); errors.Is(err, os.ErrNotExist) {
			return nil
		}
	}
	raw, err := msgpack.Marshal(barred)
	if err != nil {
		return err
	}
	return folder.Replace(quarantineFile, raw)
}
