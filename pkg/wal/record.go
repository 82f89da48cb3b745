package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

const (
	// recordHeaderSize is the size of a record header in bytes: the length of the
	// payload, the checksum of the length and the checksum of the payload.
	recordHeaderSize = 12
	// maxPayloadBytes is the maximum size of a payload; a larger length is corrupt.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errCorrupt is returned for damage that cannot be a partly written last record, such
// as a damaged record that is followed by valid records.
var errCorrupt = eris.New("corrupt record")

// appendRecord appends the encoded record of a payload to data. The length has a separate
// checksum, so that a corrupt length is not mistaken for a partly written record.
func appendRecord(data, payload []byte) []byte {
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(payload)))
	data = append(data, length[:]...)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(length[:], castagnoli))
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(payload, castagnoli))
	return append(data, payload...)
}

// readRecord returns the payload of the record at the start of data. It returns false if
// the record is incomplete or fails a checksum.
func readRecord(data []byte) ([]byte, bool) {
	if len(data) < recordHeaderSize || binary.BigEndian.Uint32(data[4:]) != crc32.Checksum(data[:4], castagnoli) {
		return nil, false
	}
	length := uint64(binary.BigEndian.Uint32(data))
	if length > maxPayloadBytes || uint64(len(data)-recordHeaderSize) < length {
		return nil, false
	}
	payload := data[recordHeaderSize : recordHeaderSize+int(length)]
	return payload, binary.BigEndian.Uint32(data[8:]) == crc32.Checksum(payload, castagnoli)
}

// readRecords returns the payloads of the leading valid records and their total size in
// bytes. The remaining bytes are a partly written record if they contain no valid record,
// because every record is synced before the next one is written; otherwise readRecords
// returns errCorrupt.
func readRecords(data []byte) (payloads [][]byte, size int, err error) {
	for size < len(data) {
		payload, valid := readRecord(data[size:])
		if !valid {
			break
		}
		payloads = append(payloads, payload)
		size += recordHeaderSize + len(payload)
	}
	for i := size + 1; i < len(data); i++ {
		if _, ok := readRecord(data[i:]); ok {
			return payloads, size, errCorrupt
		}
	}
	return payloads, size, nil
}
