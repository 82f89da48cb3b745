// Package once records which one-time keys were used, so that a call that is
// not idempotent is executed at most once per key.
package once

// Answer is the stored answer of a call.
type Answer struct {
	Status  int
	Headers map[string]string
	Body    []byte
}

// Outcome is the result of claiming a key.
type Outcome string

// Outcomes of a claim.
const (
	// Claimed means that the caller of Claim, and no other caller, may send the call
	// to a backend server.
	Claimed Outcome = "claimed"
	// Answered means that the call ran; the verdict carries the stored answer.
	Answered Outcome = "answered"
	// Unknown means that the record cannot establish whether the call ran.
	Unknown Outcome = "unknown"
	// Mismatch means that the key was claimed for a different request.
	Mismatch Outcome = "mismatch"
	// Invalid means that the key was not minted for this organisation.
	Invalid Outcome = "invalid"
	// NotRun means that the claim was refused and the call did not run under this key.
	NotRun Outcome = "not_run"
)

// Reasons of verdicts whose outcome is Unknown or NotRun.
const (
	ReasonStarted         = "started"
	ReasonAnswerGone      = "answer_gone"
	ReasonExpired         = "key_expired"
	ReasonHomeUnreachable = "home_unreachable"
	ReasonNoRecord        = "no_record"
	ReasonClaimLost       = "claim_answer_lost"
	ReasonRecordFull      = "record_full"
)

// Digest identifies a request: requests with the same digest are the same call.
type Digest [16]byte

// Verdict is the result of a claim.
type Verdict struct {
	Outcome Outcome
	// Answer is set when Outcome is Answered.
	Answer *Answer
	// Reason is one of the Reason constants, set when Outcome is Unknown or NotRun.
	Reason string
	// Claim is set when Outcome is Claimed; it is passed to Complete or Release.
	Claim Claim
}

// Claim identifies a successful claim of a key. It ends with Complete or
// Release; without either the call counts as started until the key expires.
type Claim struct {
	Key          string
	Organisation string
	Digest       Digest
	// Executor is a random number that identifies this claim: a repeated request
	// with it gets the same outcome, and only it can complete or release the claim.
	Executor uint64
}
