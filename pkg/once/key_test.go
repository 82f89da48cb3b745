package once

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var sampleKey = Key{Home: "tanta-1", DataCentre: "tanta", Incarnation: 1 << 63, MintedMS: 1 << 41, ID: ID{1, 2, 3}}

// TestKeyText guards against keys that are accepted for another organisation or
// secret, or after a change of their text.
func TestKeyText(t *testing.T) {
	c := NewCodec("a secret of the deployment")
	text := c.Encode(sampleKey, "boutique")
	k, err := c.Decode(text, "boutique")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, k, qt.DeepEquals, sampleKey)
	_, err = c.Decode(text, "other")
	qt.Assert(t, err, qt.ErrorIs, ErrBadKey)
	_, err = NewCodec("another secret").Decode(text, "boutique")
	qt.Assert(t, err, qt.ErrorIs, ErrBadKey)
	for i := range text {
		changed := text[:i] + string(text[i]^1) + text[i+1:]
		_, err := c.Decode(changed, "boutique")
		qt.Assert(t, err, qt.ErrorIs, ErrBadKey, qt.Commentf("byte %d", i))
		_, err = c.Decode(text[:i], "boutique")
		qt.Assert(t, err, qt.ErrorIs, ErrBadKey)
	}
	_, err = c.Decode(strings.Repeat("A", 10_000), "boutique")
	qt.Assert(t, err, qt.ErrorIs, ErrBadKey)
}

// FuzzDecode guards against texts that cause a panic and against keys with more
// than one accepted text.
func FuzzDecode(f *testing.F) {
	c := NewCodec("a secret of the deployment")
	f.Add(c.Encode(sampleKey, "boutique"), "boutique")
	f.Add("", "")
	f.Add("AQAA", "x")
	f.Fuzz(func(t *testing.T, text, organisation string) {
		k, err := c.Decode(text, organisation)
		if err == nil && c.Encode(k, organisation) != text {
			t.Fatalf("%q decodes to %+v, whose text is %q", text, k, c.Encode(k, organisation))
		}
	})
}
