// Package standin implements simulated backend servers for tests and load
// trials: an engine and a plain service.
package standin

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// attemptSeparator separates the chain value of a token from the hash of the attempt.
const attemptSeparator = "~"

// tokenChain computes the tokens of one generation. Each token is a hash of the
// prompt, the seed and all preceding tokens, so every token after a missing or
// repeated one, or one of another generation, differs from the expected token.
type tokenChain struct{ digest *xxhash.Digest }

func newTokenChain(prompt string, seed int64, prefix []string) *tokenChain {
	c := &tokenChain{digest: xxhash.New()}
	_, _ = c.digest.WriteString(prompt)
	var seedBytes [8]byte
	binary.LittleEndian.PutUint64(seedBytes[:], uint64(seed))
	_, _ = c.digest.Write(seedBytes[:])
	for _, token := range prefix {
		c.appendToken(token)
	}
	return c
}

// appendToken adds a token to the hashed history.
func (c *tokenChain) appendToken(token string) {
	_, _ = c.digest.WriteString(token)
	_, _ = c.digest.Write([]byte{0})
}

// nextValue returns the chain value of the next token without appending it.
func (c *tokenChain) nextValue() string {
	return " " + strconv.FormatUint(c.digest.Sum64()&0xffffff, 36)
}

// next computes the next token and appends it to the history. If attempt is not
// empty, its hash becomes part of the token.
func (c *tokenChain) next(attempt string) string {
	token := c.nextValue()
	if attempt != "" {
		token += attemptSeparator + strconv.FormatUint(xxhash.Sum64String(attempt)&0xffff, 36)
	}
	c.appendToken(token)
	return token
}

// ExpectedTokens returns the first n tokens that a stand-in engine without
// EngineOptions.AttemptChains generates for a prompt and a seed.
func ExpectedTokens(prompt string, seed int64, n int) []string {
	c := newTokenChain(prompt, seed, nil)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = c.next("")
	}
	return tokens
}

// VerifyTokens returns an error that names the first token that does not follow from
// the preceding ones. It ignores the attempt part of tokens, so it also accepts
// the output of engines with EngineOptions.AttemptChains.
func VerifyTokens(prompt string, seed int64, tokens []string) error {
	c := newTokenChain(prompt, seed, nil)
	for i, token := range tokens {
		value, _, _ := strings.Cut(token, attemptSeparator)
		if want := c.nextValue(); value != want {
			return fmt.Errorf("token at position %d is %q, but the preceding tokens give %q", i, token, want)
		}
		c.appendToken(token)
	}
	return nil
}
