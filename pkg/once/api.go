// Package once keeps the record of one-time keys: a non-idempotent call is
// executed at most once per key.
package once

// Answer is the stored answer of a call.
type Answer struct {
	Status  int
	Headers map[string]string
	Body    []byte
}

// Outcome is what a claim of a key led to.
type Outcome string

// Outcomes of a claim.
const (
	// Claimed tells that the caller of Claim, and nobody else, may run the call.
	Claimed Outcome = "claimed"
	// Answered tells that the call ran; the verdict carries the stored answer.
	Answered Outcome = "answered"
	// Unknown tells that it cannot be told whether the call ran.
	Unknown Outcome = "unknown"
	// Mismatch tells that the key was claimed for another request.
	Mismatch Outcome = "mismatch"
	// Invalid tells that the key was not minted for this organisation.
	Invalid Outcome = "invalid"
	// NotRun tells that the claim was refused and the call did not run under this key.
	NotRun Outcome = "not_run"
)

// Reasons of verdicts that are not Claimed or Answered.
const (
	ReasonStarted         = "started"
	ReasonAnswerGone      = "answer_gone"
	ReasonExpired         = "key_expired"
	ReasonHomeUnreachable = "home_unreachable"
	ReasonNoRecord        = "no_record"
	ReasonClaimLost       = "claim_answer_lost"
	ReasonRecordFull      = "record_full"
)

// Digest identifies a request: two requests with one digest are the same call.
type Digest [16]byte

// Verdict is the result of a claim.
type Verdict struct {
	Outcome Outcome
	// Answer is set when Outcome is Answered.
	Answer *Answer
	// Reason tells why the outcome is Unknown or NotRun.
	Reason string
	// Claim is set when Outcome is Claimed and names this claim at its end.
	Claim Claim
}

// Claim is a successful claim. It ends in Complete or Release, or stays
// started for ever.
type Claim struct {
	Key          string
	Organisation string
	Digest       Digest
	// Executor is unique to this claim.
	Executor uint64
}
