// ================================================================
// Each control node stores the records of quarantined requests on its disk and publishes them again
// when it starts. After a power loss of all machines each such request would otherwise crash three
// more servers. The records need no quorum: they are merged by union, so an outdated copy on one
// disk does no harm. Records of requests that are only suspected are not stored.
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
	// quarantineFile is the name of the file in the data folder. A request takes about 200 bytes.
	quarantineFile = "quarantine"
	// quarantineWriteInterval is the time between two checks for changes to write.
	quarantineWriteInterval = time.Second
)

// quarantineStore writes the records of quarantined requests to the disk. It is safe for concurrent
// use.
type quarantineStore struct {
	table        *quarantine.Table
	mergeRecords func(records []quarantine.Record)
	logger       log.Logger

	mu      sync.Mutex
	folder  *disk.Folder // nil while the data folder is not open
	changed bool         // the table has changed since the file was written
}

// setFolder starts to use a folder that was opened, and merges the records that it contains.
func (q *quarantineStore) setFolder(folder *disk.Folder) {
	records, err := readQuarantined(folder)
	if err != nil {
		// The next write replaces the file, and other nodes publish the same records.
		_ = level.Warn(q.logger).Log("msg", "reading quarantined requests failed", "err", err)
	}
	q.mu.Lock()
	q.folder, q.changed = folder, true
	q.mu.Unlock()
	q.mergeRecords(records)
}

// clearFolder stops using the folder, before it is closed.
func (q *quarantineStore) clearFolder() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.folder = nil
}

// readQuarantined returns the stored records; none if there is no file.
func readQuarantined(folder *disk.Folder) (records []quarantine.Record, err error) {
	raw, err := folder.Read(quarantineFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return records, msgpack.Unmarshal(raw, &records)
}

// markChanged schedules a write if one of the changed records is quarantined, or was cleared by a
// completed run. Other records are not stored.
func (q *quarantineStore) markChanged(changed []quarantine.Record) {
	for _, r := range changed {
		if r.IsQuarantined() || len(r.CompletedOn()) > 0 {
			q.mu.Lock()
			q.changed = true
			q.mu.Unlock()
			return
		}
	}
}

// run writes changes to the disk until the context ends.
func (q *quarantineStore) run(ctx context.Context) error {
	return daemon.Every(ctx, quarantineWriteInterval, func() {
		if err := q.writeIfChanged(); err != nil {
			_ = level.Warn(q.logger).Log("msg", "writing quarantined requests failed", "err", err)
		}
	})
}

// writeIfChanged writes the records of quarantined requests if they have changed and a folder is
// open. After an error the next call tries again.
func (q *quarantineStore) writeIfChanged() error {
	q.mu.Lock()
	folder, due := q.folder, q.changed && q.folder != nil
	q.changed = q.changed && !due
	q.mu.Unlock()
	if !due {
		return nil
	}
	var records []quarantine.Record
	for _, r := range q.table.Records() {
		if r.IsQuarantined() {
			records = append(records, r)
		}
	}
	err := writeQuarantined(folder, records)
	if err != nil {
		q.mu.Lock()
		q.changed = true
		q.mu.Unlock()
	}
	return err
}

// writeQuarantined replaces the stored records. It creates no file as long as there are no records.
func writeQuarantined(folder *disk.Folder, records []quarantine.Record) error {
	if len(records) == 0 {
		if _, err := folder.Read(quarantineFile); errors.Is(err, os.ErrNotExist) {
			return nil
		}
	}
	raw, err := msgpack.Marshal(records)
	if err != nil {
		return err
	}
	return folder.Replace(quarantineFile, raw)
}
