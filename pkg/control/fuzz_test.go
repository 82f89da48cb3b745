package control

import (
	"testing"
)

// Guards against a log entry that crashes an instance or that results in a state
// that does not survive encoding and decoding.
func FuzzStateApply(f *testing.F) {
	f.Add([]byte(`{"change":{"id":"1","operator":"rozenn","base":0,"ops":[{"section":"ranks","name":"urgent","value":null}]}}`),
		[]byte(`{"change":{"id":"1","operator":"rozenn","base":0,"ops":[{"section":"organisations","name":"a","value":{"weight":1,"ranks":["urgent"],"key_hashes":[]}}]}}`))
	f.Add([]byte(`{"change":{"id":"2","operator":"x","ops":[{"section":"services","name":"a","value":{"kind":"plain","routes":[{"method":"GET"}]}}]}}`),
		[]byte(`{"change":{"id":"3","operator":"x","base":1,"ops":[{"section":"services","name":"a"}]}}`))
	f.Add([]byte(`{"lease":{"holder":"c1","expect":0}}`), []byte(`{"lease":{"holder":"c1","expect":1,"renew":true}}`))
	f.Add([]byte(`{"change":null}`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := NewState()
		for _, data := range [][]byte{first, second} {
			s.apply(data)
			if faults := s.document.Validate(); len(faults) > 0 {
				t.Fatalf("an invalid document is in force: %v", faults)
			}
			encoded, err := s.encode()
			if err != nil {
				t.Fatal(err)
			}
			restored, err := decodeState(encoded)
			if err != nil {
				t.Fatal(err)
			}
			reencoded, err := restored.encode()
			if err != nil || string(reencoded) != string(encoded) {
				t.Fatalf("the re-encoded state differs: %v\n%s\n%s", err, encoded, reencoded)
			}
		}
	})
}
