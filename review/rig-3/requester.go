package rig3

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Stream is a request for a stream.
type Stream struct {
	// ID is the request's identifier and Part its own part of the prompt.
	ID, Part   string
	Host, Path string
	// Prompt and Events are the number of prompt tokens and of events.
	Prompt, Events int
}

// ErrIncomplete means that a stream ended as complete before its last event.
var ErrIncomplete = errors.New("the stream ends as complete before its last event")

// ErrForeign means that an event belongs to another request, or is not the next one.
var ErrForeign = errors.New("the stream holds what isn't the request's")

// Do sends the request to a gateway and checks each event. It returns the number of events.
func (s Stream) Do(front string) (events int, err error) {
	const deadline = 25 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+s.Path, strings.NewReader("prompt"))
	if err != nil {
		return 0, err
	}
	request.Host = s.Host
	for name, value := range map[string]string{
		"Request-Id": s.ID, "Model": "m", "Token-Usage": fmt.Sprintf("%d,%d", s.Prompt, s.Events*eventTokens),
		"Prefix-Hash": fmt.Sprintf("5c1e07a2:200,%s:%d", s.Part, s.Prompt-200), "Deadline-Ms": strconv.Itoa(int(deadline.Milliseconds())),
	} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	id, data := "", ""
	for reader := bufio.NewReader(response.Body); ; {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return events, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "":
			events++
			if id != strconv.Itoa(events) || data != Content(s.Part, events) {
				return events, fmt.Errorf("%w: event %d of request %s with part %s is %q, %q", ErrForeign, events, s.ID, s.Part, id, data)
			}
		}
	}
	if events != s.Events {
		return events, fmt.Errorf("%w: %d of %d", ErrIncomplete, events, s.Events)
	}
	return events, nil
}
