package streamrecord

import (
	"math"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

func recordToWire(r *Record) *wire.StreamRecord {
	return &wire.StreamRecord{
		Stream: r.StreamID, Organisation: r.Organisation, Epoch: r.Term.Epoch, Owner: r.Term.Owner,
		Request: r.Request, Tokens: r.Tokens, EngineAddress: r.Engine.Address,
		EngineStream: r.Engine.StreamID, Attempt: r.Engine.Attempt,
		Finished: r.Finished, FinishReason: r.FinishReason,
		WrittenEpoch: r.ContentTerm.Epoch, WrittenOwner: r.ContentTerm.Owner,
	}
}

func recordFromWire(r *wire.StreamRecord) Record {
	return Record{
		StreamID: r.GetStream(), Organisation: r.GetOrganisation(),
		Term:        Term{Epoch: r.GetEpoch(), Owner: r.GetOwner()},
		ContentTerm: Term{Epoch: r.GetWrittenEpoch(), Owner: r.GetWrittenOwner()},
		Request:     r.GetRequest(), Tokens: r.GetTokens(),
		Engine:   EngineLocation{Address: r.GetEngineAddress(), StreamID: r.GetEngineStream(), Attempt: r.GetAttempt()},
		Finished: r.GetFinished(), FinishReason: r.GetFinishReason(),
	}
}

func appendFromWire(a *wire.ReplicaAppend, owner string) Append {
	position := math.MaxInt
	if a.GetPosition() < math.MaxInt {
		position = int(a.GetPosition())
	}
	return Append{
		StreamID: a.GetStream(), Term: Term{Epoch: a.GetEpoch(), Owner: owner},
		Position: position, Tokens: a.GetTokens(),
		Engine:   EngineLocation{Address: a.GetEngineAddress(), StreamID: a.GetEngineStream(), Attempt: a.GetAttempt()},
		Finished: a.GetFinished(), FinishReason: a.GetFinishReason(),
	}
}
