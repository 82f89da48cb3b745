// Package standin holds stand-ins for the backend servers: an engine and a
// plain service. They serve trials and tests.
package standin

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// attemptMark separates the chain value of a token from the name of the attempt.
const attemptMark = "~"

// chain makes the tokens of one generation. Each token is a function of the
// prompt, the seed and all tokens before it, so a missing, repeated or foreign
// token changes everything after it.
type chain struct{ digest *xxhash.Digest }

func newChain(prompt string, seed int64, prefix []string) *chain {
	c := &chain{digest: xxhash.New()}
	_, _ = c.digest.WriteString(prompt)
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(seed))
	_, _ = c.digest.Write(raw[:])
	for _, token := range prefix {
		c.add(token)
	}
	return c
}

// add appends a token to the history.
func (c *chain) add(token string) {
	_, _ = c.digest.WriteString(token)
	_, _ = c.digest.Write([]byte{0})
}

// value returns the chain value of the next token.
func (c *chain) value() string {
	return " " + strconv.FormatUint(c.digest.Sum64()&0xffffff, 36)
}

// next returns the next token and appends it. A non-empty attempt makes the
// text depend on the attempt.
func (c *chain) next(attempt string) string {
	token := c.value()
	if attempt != "" {
		token += attemptMark + strconv.FormatUint(xxhash.Sum64String(attempt)&0xffff, 36)
	}
	c.add(token)
	return token
}

// Expected returns the first n tokens of the stand-in engine for a prompt and
// a seed, without distinct chains per attempt.
func Expected(prompt string, seed int64, n int) []string {
	c := newChain(prompt, seed, nil)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = c.next("")
	}
	return tokens
}

// Verify reports the first token that does not follow from the tokens before
// it. It also holds for engines whose text depends on the attempt.
func Verify(prompt string, seed int64, tokens []string) error {
	c := newChain(prompt, seed, nil)
	for i, token := range tokens {
		value, _, _ := strings.Cut(token, attemptMark)
		if want := c.value(); value != want {
			return fmt.Errorf("token at position %d is %q, and %q follows from the tokens before it", i, token, want)
		}
		c.add(token)
	}
	return nil
}
