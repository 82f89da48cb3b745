package kernel

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/rotisserie/eris"
)

// Topics of the in-process bus.
const (
	// TopicConfigApplied carries a ConfigApplied for each newer configuration that
	// this instance applies.
	TopicConfigApplied = "config.applied"
	// TopicMemberChanged carries a MemberChanged for each change of a member's state.
	TopicMemberChanged = "member.changed"
	// TopicDraining carries one empty event when a planned stop begins.
	TopicDraining = "process.draining"
)

// ConfigApplied is published after this instance applied a configuration version.
type ConfigApplied struct {
	Version uint64 `json:"version"`
}

// MemberChanged is published after the membership state of an instance changed.
type MemberChanged struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// subscriberBufferSize is the number of events that are buffered for a slow
// subscriber; when the buffer is full, publishers block.
const subscriberBufferSize = 256

// Bus is the in-process event bus. Events report changes of state and are not
// replayed: a late subscriber reads the current state from the service that owns it.
type Bus struct {
	channel *gochannel.GoChannel
}

func newBus(log *slog.Logger) *Bus {
	return &Bus{channel: gochannel.NewGoChannel(
		gochannel.Config{OutputChannelBuffer: subscriberBufferSize},
		watermill.NewSlogLogger(log),
	)}
}

// Publish sends an event to the current subscribers of a topic.
func (b *Bus) Publish(topic string, event any) error {
	payload, err := json.Marshal(event)
	if err != nil {
		return eris.Wrapf(err, "encode event for %s", topic)
	}
	return b.channel.Publish(topic, message.NewMessage(watermill.NewUUID(), payload))
}

// Subscribe calls handle for each event of a topic until ctx ends. Events that
// cannot be decoded as T are ignored.
func Subscribe[T any](ctx context.Context, b *Bus, topic string, handle func(T)) error {
	messages, err := b.channel.Subscribe(ctx, topic)
	if err != nil {
		return eris.Wrapf(err, "subscribe to %s", topic)
	}
	go func() {
		for m := range messages {
			var event T
			if json.Unmarshal(m.Payload, &event) == nil {
				handle(event)
			}
			m.Ack()
		}
	}()
	return nil
}

func (b *Bus) close() { _ = b.channel.Close() }
