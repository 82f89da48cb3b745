package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"
)

const (
	// KeyLifetime is how long a key can be claimed after it was minted.
	KeyLifetime = 24 * time.Hour
	keyVersion  = 1
	idBytes     = 12
	macBytes    = 16
	// fixedFieldsBytes is the size of the version, the incarnation, the time, the
	// identifier and the two lengths of names.
	fixedFieldsBytes = 1 + 8 + 8 + idBytes + 2
	maxNameBytes     = 64
	// maxEncodedBytes bounds the text of a key before it is decoded: twice the
	// longest text that Encode returns.
	maxEncodedBytes = (fixedFieldsBytes + 2*maxNameBytes + macBytes) * 4 / 3 * 2
)

// ID is the random part of a key.
type ID [idBytes]byte

// Key is a decoded one-time key.
type Key struct {
	// Home is the instance that minted the key, DataCentre its data centre.
	Home       string
	DataCentre string
	// Incarnation is the incarnation of the record that decides about the key.
	Incarnation uint64
	// MintedMS is the home's clock reading, in Unix milliseconds.
	MintedMS int64
	ID       ID
}

// ErrBadKey means that a text is not a key of the organisation.
var ErrBadKey = errors.New("not a key of this organisation")

// Codec encodes, authenticates and decodes keys.
type Codec struct{ secret []byte }

// NewCodec returns a codec. All entry instances must use the same secret.
func NewCodec(secret string) Codec { return Codec{[]byte(secret)} }

// keyEncoding is strict, so that each key has exactly one text.
var keyEncoding = base64.RawURLEncoding.Strict()

// Encode returns the text of a key for an organisation. It panics if the name of
// the instance or the data centre is longer than 64 bytes.
func (c Codec) Encode(k Key, organisation string) string {
	if len(k.Home) > maxNameBytes || len(k.DataCentre) > maxNameBytes {
		panic("once: the name of instance " + k.Home + " or of data centre " + k.DataCentre + " is longer than 64 bytes")
	}
	raw := make([]byte, 0, fixedFieldsBytes+len(k.Home)+len(k.DataCentre)+macBytes)
	raw = append(raw, keyVersion)
	raw = binary.BigEndian.AppendUint64(raw, k.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, uint64(k.MintedMS))
	raw = append(raw, k.ID[:]...)
	raw = append(raw, byte(len(k.Home)))
	raw = append(raw, k.Home...)
	raw = append(raw, byte(len(k.DataCentre)))
	raw = append(raw, k.DataCentre...)
	raw = append(raw, c.mac(raw, organisation)...)
	return keyEncoding.EncodeToString(raw)
}

// mac returns the authentication code of the encoded fields and the organisation.
// The encoded fields contain their lengths, so no two pairs of fields and organisation
// give the same input.
func (c Codec) mac(raw []byte, organisation string) []byte {
	h := hmac.New(sha256.New, c.secret)
	_, _ = h.Write(raw)
	_, _ = h.Write([]byte(organisation))
	return h.Sum(nil)[:macBytes]
}

// Decode returns the key that a text encodes, or ErrBadKey.
func (c Codec) Decode(text, organisation string) (Key, error) {
	if len(text) > maxEncodedBytes {
		return Key{}, ErrBadKey
	}
	raw, err := keyEncoding.DecodeString(text)
	if err != nil || len(raw) < fixedFieldsBytes+macBytes || raw[0] != keyVersion {
		return Key{}, ErrBadKey
	}
	signed, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !hmac.Equal(mac, c.mac(signed, organisation)) {
		return Key{}, ErrBadKey
	}
	k := Key{
		Incarnation: binary.BigEndian.Uint64(signed[1:]),
		MintedMS:    int64(binary.BigEndian.Uint64(signed[9:])),
		ID:          ID(signed[17 : 17+idBytes]),
	}
	var ok bool
	rest := signed[17+idBytes:]
	if k.Home, rest, ok = readName(rest); !ok {
		return Key{}, ErrBadKey
	}
	if k.DataCentre, rest, ok = readName(rest); !ok || len(rest) != 0 {
		return Key{}, ErrBadKey
	}
	return k, nil
}

// readName reads a length and that many bytes from the start of raw.
func readName(raw []byte) (text string, rest []byte, ok bool) {
	if len(raw) == 0 || int(raw[0]) > len(raw)-1 || int(raw[0]) > maxNameBytes {
		return "", nil, false
	}
	end := 1 + int(raw[0])
	return string(raw[1:end]), raw[end:], true
}
