// ================================================================
// Records of the log file.
//
//	magic    2 bytes, so that a scan can find the next record
//	kind     1 byte
//	length   4 bytes, of the body
//	checksum 8 bytes, xxhash of kind, length and body
//	body     msgpack
//
// A record that is cut off at the end of the file is a torn write: nothing
// after the last sync was promised, so it is cut and reported. A bad record
// with a good one behind it is damage to what was promised, and is refused.
// ================================================================

package controllog

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
)

// recordKind says what a record holds.
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

// logBase is the first record of a file: the entry before those that follow.
//
//wire:generate
type logBase struct {
	// index and term are those of the entry before the first.
	index uint64
	term  uint64
}

func appendRecord(buffer []byte, kind recordKind, body any) ([]byte, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, failure.New(failure.Internal, "a %T cannot be encoded: %v", body, err)
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

// parseRecord reads the record at the start of data; ok is false when it is
// not whole.
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

// containsRecord tells whether a whole record starts anywhere in data.
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

// readRecords calls take for each record, and returns the length of the good
// part. A torn tail is not an error; damage before the end is.
func readRecords(name string, data []byte, take func(recordKind, []byte) error) (good int, err error) {
	for good < len(data) {
		kind, body, size, ok := parseRecord(data[good:])
		if !ok {
			if containsRecord(data[good+1:]) {
				return good, failure.New(failure.CorruptLog, "%s is damaged at byte %d of %d", name, good, len(data))
			}
			return good, nil
		}
		if err := take(kind, body); err != nil {
			return good, failure.New(failure.CorruptLog, "%s at byte %d: %v", name, good, err)
		}
		good += size
	}
	return good, nil
}
