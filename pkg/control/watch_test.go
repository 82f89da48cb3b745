package control

import (
	"bytes"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// Guards against consensus messages that are dropped without a log line.
func TestDroppedMessagesAreLogged(t *testing.T) {
	for _, tt := range []struct {
		name, want string
		message    func(valid []byte) []byte
	}{
		{"malformed", "dropped a malformed consensus message", func(valid []byte) []byte { return valid[:len(valid)/2] }},
		{"empty", "dropped a malformed consensus message", func([]byte) []byte { return nil }},
		{"for another member", "dropped a consensus message for another member", func(valid []byte) []byte { return valid }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var log bytes.Buffer
			valid, err := consensus.Encode(consensus.Message{Kind: consensus.Heartbeat, From: "c2", To: "c3", Disk: "d2", Term: 1})
			qt.Assert(t, err, qt.IsNil)
			node := &Node{log: slog.New(slog.NewTextHandler(&log, nil)), messages: make(chan consensus.Message, 1)}
			server := &rpcServer{node: node, router: &router{node: node, self: "c1"}}
			_, err = server.Step(t.Context(), &wire.StepRequest{Messages: [][]byte{tt.message(valid)}})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, log.String(), qt.Contains, tt.want)
			qt.Assert(t, node.messages, qt.HasLen, 0)
		})
	}
}
