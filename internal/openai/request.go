// Package openai parses requests and formats responses of the OpenAI-compatible API: chat completions, completions and
// the model list. Unknown request fields are ignored, since clients send many that engines do not need.
package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Paths of the generation endpoints.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
)

// DefaultMaxTokens is the maximum response length, in tokens, of a request that does not set one.
const DefaultMaxTokens = 512

// Request is a parsed generation request.
type Request struct {
	Chat   bool
	Model  string // as named by the caller, including the adapter if any
	Prompt string
	// SharedParts are hashes of the parts of the prompt that other requests may have too: the messages of a chat, or the
	// paragraphs of a completion's prompt, without the last. Of a long list they are the first and the last.
	SharedParts []string
	MaxTokens   uint32
	Stream      bool
	Seed        uint64
}

// maxSharedParts limits Request.SharedParts.
const maxSharedParts = 32

// sharedParts returns the hashes of all texts but the last.
func sharedParts(texts []string) []string {
	texts = texts[:max(len(texts)-1, 0)]
	if excess := len(texts) - maxSharedParts; excess > 0 {
		texts = slices.Concat(texts[:maxSharedParts/2], texts[maxSharedParts/2+excess:])
	}
	var out []string
	for _, text := range texts {
		if text != "" {
			out = append(out, strconv.FormatUint(xxhash.Sum64String(text), 36))
		}
	}
	return out
}

type wireRequest struct {
	Model               string          `json:"model"`
	Messages            []wireMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *uint32         `json:"max_tokens"`
	MaxCompletionTokens *uint32         `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Seed                *uint64         `json:"seed"`
	N                   *int            `json:"n"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wirePart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// ParseRequest parses the body of a request to path. Its error messages are written for callers.
func ParseRequest(path string, body []byte) (Request, error) {
	var wire wireRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&wire); err != nil {
		return Request{}, describeDecodeError(err)
	}
	if decoder.More() {
		return Request{}, errors.New("the body has data after the JSON object")
	}
	if wire.Model == "" {
		return Request{}, errors.New("model is missing")
	}
	if wire.N != nil && *wire.N != 1 {
		return Request{}, errors.New("n must be 1")
	}
	out := Request{Chat: path == ChatPath, Model: wire.Model, Stream: wire.Stream}
	var err error
	if out.MaxTokens, err = wire.maxTokens(); err != nil {
		return Request{}, err
	}
	if wire.Seed != nil {
		out.Seed = *wire.Seed
	}
	if out.Chat {
		out.Prompt, out.SharedParts, err = chatPrompt(wire.Messages)
	} else {
		out.Prompt, err = completionPrompt(wire.Prompt)
		out.SharedParts = sharedParts(strings.Split(out.Prompt, "\n\n"))
	}
	return out, err
}

func (w *wireRequest) maxTokens() (uint32, error) {
	limit := w.MaxCompletionTokens
	if limit == nil {
		limit = w.MaxTokens
	}
	if limit == nil {
		return DefaultMaxTokens, nil
	}
	if *limit == 0 {
		return 0, errors.New("max_tokens must be at least 1")
	}
	return *limit, nil
}

// describeDecodeError converts a JSON decoding error into one that names the location but no Go types.
func describeDecodeError(err error) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return fmt.Errorf("invalid JSON at byte %d", syntaxErr.Offset)
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return fmt.Errorf("field %q has the wrong type", typeErr.Field)
	default:
		return errors.New("the body is not a JSON object")
	}
}

// chatPrompt joins the messages into a prompt, each as "role: text" and a line break, so that chats with the same initial
// messages have the same prompt prefix. It also returns the parts that other chats may share.
func chatPrompt(messages []wireMessage) (prompt string, parts []string, err error) {
	if len(messages) == 0 {
		return "", nil, errors.New("messages is missing or empty")
	}
	var joined strings.Builder
	var texts []string
	for i, message := range messages {
		if message.Role == "" {
			return "", nil, fmt.Errorf("messages[%d].role is missing", i)
		}
		text, err := contentText(message.Content)
		if err != nil {
			return "", nil, fmt.Errorf("messages[%d].content %w", i, err)
		}
		joined.WriteString(message.Role)
		joined.WriteString(": ")
		joined.WriteString(text)
		joined.WriteByte('\n')
		texts = append(texts, text)
	}
	return joined.String(), sharedParts(texts), nil
}

// contentText returns the text of a content field: a string, or a list of parts whose text parts are joined.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []wirePart
	if json.Unmarshal(raw, &parts) != nil {
		return "", errors.New("must be a string or a list of parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type == "text" {
			joined.WriteString(part.Text)
		}
	}
	return joined.String(), nil
}

func completionPrompt(raw json.RawMessage) (string, error) {
	var text string
	if len(raw) == 0 || json.Unmarshal(raw, &text) != nil {
		return "", errors.New("prompt must be a string")
	}
	return text, nil
}
