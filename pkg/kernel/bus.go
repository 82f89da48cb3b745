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
	// TopicConfigApplied carries ConfigApplied when a newer configuration is in force.
	TopicConfigApplied = "config.applied"
	// TopicMemberChanged carries MemberChanged when the state of a member changes.
	TopicMemberChanged = "member.changed"
	// TopicDraining is published once when a planned stop begins.
	TopicDraining = "process.draining"
)

// ConfigApplied tells that a configuration version is in force at this instance.
type ConfigApplied struct {
	Version uint64 `json:"version"`
}

// MemberChanged tells that an instance changed its membership state.
type MemberChanged struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// busBuffer is the number of events a slow subscriber may lag behind before
// publishers wait for it.
const busBuffer = 256

// Bus is the in-process event bus. Events tell of changes of state; a
// subscriber that starts later reads the state from the service that owns it.
type Bus struct {
	channel *gochannel.GoChannel
}

func newBus(log *slog.Logger) *Bus {
	return &Bus{channel: gochannel.NewGoChannel(
		gochannel.Config{OutputChannelBuffer: busBuffer},
		watermill.NewSlogLogger(log),
	)}
}

// Publish sends an event to all current subscribers of a topic.
func (b *Bus) Publish(topic string, event any) error {
	payload, err := json.Marshal(event)
	if err != nil {
		return eris.Wrapf(err, "encode event for %s", topic)
	}
	return b.channel.Publish(topic, message.NewMessage(watermill.NewUUID(), payload))
}

// Subscribe calls handle for each event of a topic until ctx ends. Events that
// cannot be decoded as T are dropped.
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
