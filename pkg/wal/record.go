package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

const (
	// headerSize is the size of a record header in bytes: the length of the
	// payload, the checksum of the length, the checksum of the payload.
	headerSize = 12
	// maxPayload bounds a payload in bytes; a longer one is a fault.
	maxPayload = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errCorrupt tells that a record is damaged and that records follow it, so it
// cannot be the torn end of the last write.
var errCorrupt = eris.New("corrupt record")

// appendRecord appends the record of a payload to data. The length has a
// checksum of its own, so that a damaged length is not taken for a torn end.
func appendRecord(data, payload []byte) []byte {
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(payload)))
	data = append(data, length[:]...)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(length[:], castagnoli))
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(payload, castagnoli))
	return append(data, payload...)
}

// readRecord returns the payload of the record at the start of data, and false
// if there is no whole and undamaged one.
func readRecord(data []byte) ([]byte, bool) {
	if len(data) < headerSize || binary.BigEndian.Uint32(data[4:]) != crc32.Checksum(data[:4], castagnoli) {
		return nil, false
	}
	length := uint64(binary.BigEndian.Uint32(data))
	if length > maxPayload || uint64(len(data)-headerSize) < length {
		return nil, false
	}
	payload := data[headerSize : headerSize+int(length)]
	return payload, binary.BigEndian.Uint32(data[8:]) == crc32.Checksum(payload, castagnoli)
}

// readRecords returns the payloads of data and the number of bytes up to the
// end of the last whole record. What follows is a torn write if no whole record
// comes after it: every record is synced before the next one is written.
func readRecords(data []byte) (payloads [][]byte, size int, err error) {
	for size < len(data) {
		payload, ok := readRecord(data[size:])
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		size += headerSize + len(payload)
	}
	for i := size + 1; i < len(data); i++ {
		if _, ok := readRecord(data[i:]); ok {
			return payloads, size, errCorrupt
		}
	}
	return payloads, size, nil
}
