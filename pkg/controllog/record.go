// ================================================================
// The record format of the log file.
//
//	magic    2 bytes, so that a scan can find the next record
//	kind     1 byte
//	length   4 bytes, of the body
//	checksum 8 bytes, xxhash of kind, length and body
//	body     msgpack
// ================================================================

package controllog

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
)

// recordKind is the kind of a record.
type recordKind byte

const (
	recordBase recordKind = iota + 1
	recordHardState
	recordEntry
)

const (
	recordHeaderSize = 2 + 1 + 4 + 8
	lengthOffset     = 3
	checksumOffset   = 7
)

var recordMagic = []byte{0xd5, 0x1e}

// logBase is the first record of a log file. It names the entry before the first one
// in the file.
//
//wire:generate
type logBase struct {
	// index is the index of that entry.
	index uint64
	// term is the term of that entry.
	term uint64
}

// appendRecord appends a record with the encoded body to buffer.
func appendRecord(buffer []byte, kind recordKind, body any) ([]byte, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, failure.New(failure.Internal, "%T cannot be encoded: %v", body, err)
	}
	start := len(buffer)
	buffer = append(buffer, recordMagic...)
	buffer = append(buffer, byte(kind))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(raw)))
	buffer = binary.BigEndian.AppendUint64(buffer, recordChecksum(buffer[start+2:start+checksumOffset], raw))
	return append(buffer, raw...), nil
}

func recordChecksum(kindAndLength, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(kindAndLength)
	_, _ = d.Write(body)
	return d.Sum64()
}

// parseRecord reads the record at the start of data. It returns false when the
// record is incomplete or fails its checksum.
func parseRecord(data []byte) (kind recordKind, body []byte, size int, ok bool) {
	if len(data) < recordHeaderSize || !bytes.HasPrefix(data, recordMagic) {
		return 0, nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(data[lengthOffset:]))
	if length > len(data)-recordHeaderSize {
		return 0, nil, 0, false
	}
	body = data[recordHeaderSize : recordHeaderSize+length]
	if binary.BigEndian.Uint64(data[checksumOffset:]) != recordChecksum(data[2:checksumOffset], body) {
		return 0, nil, 0, false
	}
	return recordKind(data[2]), body, recordHeaderSize + length, true
}

// containsRecord reports whether a valid record starts anywhere in data.
func containsRecord(data []byte) bool {
	for {
		i := bytes.Index(data, recordMagic)
		if i < 0 {
			return false
		}
		if _, _, _, ok := parseRecord(data[i:]); ok {
			return true
		}
		data = data[i+1:]
	}
}

// readRecords calls handle for each record and returns the length of the valid
// part of data.
//
// An invalid record with no valid record after it is a torn write. It is not an
// error, since nothing after the last sync was acknowledged. An invalid record
// with a valid one after it means that acknowledged data is damaged, and is a
// CorruptLog error.
func readRecords(name string, data []byte, handle func(recordKind, []byte) error) (valid int, err error) {
	for valid < len(data) {
		kind, body, size, ok := parseRecord(data[valid:])
		if !ok {
			if containsRecord(data[valid+1:]) {
				return valid, failure.New(failure.CorruptLog, "%s is damaged at byte %d of %d", name, valid, len(data))
			}
			return valid, nil
		}
		if err := handle(kind, body); err != nil {
			return valid, failure.New(failure.CorruptLog, "%s at byte %d: %v", name, valid, err)
		}
		valid += size
	}
	return valid, nil
}
