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
	// keptFile is the file in the data folder: some 200 bytes a request.
	keptFile = "quarantine"
	// keepEvery is the time between two looks whether something has changed.
	keepEvery = time.Second
)

// keeper keeps the records of barred requests on the disk.
type keeper struct {
	table  *quarantine.Table
	learn  func(records []quarantine.Record)
	logger log.Logger

	mu      sync.Mutex
	folder  *disk.Folder // nil while there is no disk
	changed bool         // since it was written
}

// use takes a folder that was opened, and reads what it holds.
func (k *keeper) use(folder *disk.Folder) {
	records, err := readKept(folder)
	if err != nil {
		// It is written anew with the next change, and others tell the same.
		_ = level.Warn(k.logger).Log("msg", "barred requests cannot be read", "err", err)
	}
	k.mu.Lock()
	k.folder, k.changed = folder, true
	k.mu.Unlock()
	k.learn(records)
}

// leave gives the folder up: it is closed afterwards.
func (k *keeper) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.folder = nil
}

func readKept(folder *disk.Folder) (records []quarantine.Record, err error) {
	raw, err := folder.Read(keptFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return records, msgpack.Unmarshal(raw, &records)
}

// note notes that records have changed; those that bar nothing are not kept.
func (k *keeper) note(changed []quarantine.Record) {
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
func (k *keeper) run(ctx context.Context) error {
	return daemon.Every(ctx, keepEvery, func() {
		if err := k.keep(); err != nil {
			_ = level.Warn(k.logger).Log("msg", "barred requests cannot be kept", "err", err)
		}
	})
}

// keep writes the records of barred requests if something has changed.
func (k *keeper) keep() error {
	k.mu.Lock()
	folder, due := k.folder, k.changed && k.folder != nil
	k.changed = k.changed && !due
	k.mu.Unlock()
	if !due {
		return nil
	}
	var kept []quarantine.Record
	for _, r := range k.table.Records() {
		if r.IsQuarantined() {
			kept = append(kept, r)
		}
	}
	err := writeKept(folder, kept)
	if err != nil {
		k.mu.Lock()
		k.changed = true
		k.mu.Unlock()
	}
	return err
}

// writeKept writes records. Where there never were any, no file is made.
func writeKept(folder *disk.Folder, kept []quarantine.Record) error {
	if len(kept) == 0 {
		if _, err := folder.Read(keptFile); errors.Is(err, os.ErrNotExist) {
			return nil
		}
	}
	raw, err := msgpack.Marshal(kept)
	if err != nil {
		return err
	}
	return folder.Replace(keptFile, raw)
}
