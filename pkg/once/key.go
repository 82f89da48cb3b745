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
	// fixedBytes are version, incarnation, time, identifier and two lengths.
	fixedBytes   = 1 + 8 + 8 + idBytes + 2
	maxNameBytes = 64
	// maxKeyText bounds the text of a key before it is decoded.
	maxKeyText = (fixedBytes + 2*maxNameBytes + macBytes) * 4 / 3 * 2
)

// ID is the random part of a key.
type ID [idBytes]byte

// Key is a decoded one-time key.
type Key struct {
	// Home is the instance that minted the key, DataCentre where it is.
	Home       string
	DataCentre string
	// Incarnation is that of the record that decides about the key.
	Incarnation uint64
	// MintedMS is the home's clock reading, in Unix milliseconds.
	MintedMS int64
	ID       ID
}

// ErrBadKey tells that a text is no key of the organisation.
var ErrBadKey = errors.New("not a key of this organisation")

// Codec encodes, authenticates and decodes keys.
type Codec struct{ secret []byte }

// NewCodec returns a codec; the secret is the same at all entry instances.
func NewCodec(secret string) Codec { return Codec{[]byte(secret)} }

// The strict form has one text per key.
var encoding = base64.RawURLEncoding.Strict()

// Encode returns the text of a key for an organisation. Names longer than 64
// bytes are a broken invariant.
func (c Codec) Encode(k Key, organisation string) string {
	if len(k.Home) > maxNameBytes || len(k.DataCentre) > maxNameBytes {
		panic("once: the name of an instance or data centre is too long")
	}
	raw := make([]byte, 0, fixedBytes+len(k.Home)+len(k.DataCentre)+macBytes)
	raw = append(raw, keyVersion)
	raw = binary.BigEndian.AppendUint64(raw, k.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, uint64(k.MintedMS))
	raw = append(raw, k.ID[:]...)
	raw = append(raw, byte(len(k.Home)))
	raw = append(raw, k.Home...)
	raw = append(raw, byte(len(k.DataCentre)))
	raw = append(raw, k.DataCentre...)
	raw = append(raw, c.mac(raw, organisation)...)
	return encoding.EncodeToString(raw)
}

// mac authenticates the fields, whose lengths are part of raw, and the organisation.
func (c Codec) mac(raw []byte, organisation string) []byte {
	h := hmac.New(sha256.New, c.secret)
	_, _ = h.Write(raw)
	_, _ = h.Write([]byte(organisation))
	return h.Sum(nil)[:macBytes]
}

// Decode returns the key of a text, or ErrBadKey.
func (c Codec) Decode(text, organisation string) (Key, error) {
	if len(text) > maxKeyText {
		return Key{}, ErrBadKey
	}
	raw, err := encoding.DecodeString(text)
	if err != nil || len(raw) < fixedBytes+macBytes || raw[0] != keyVersion {
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
	if k.Home, rest, ok = name(rest); !ok {
		return Key{}, ErrBadKey
	}
	if k.DataCentre, rest, ok = name(rest); !ok || len(rest) != 0 {
		return Key{}, ErrBadKey
	}
	return k, nil
}

// name takes a length and that many bytes from raw.
func name(raw []byte) (text string, rest []byte, ok bool) {
	if len(raw) == 0 || int(raw[0]) > len(raw)-1 || int(raw[0]) > maxNameBytes {
		return "", nil, false
	}
	end := 1 + int(raw[0])
	return string(raw[1:end]), raw[end:], true
}
