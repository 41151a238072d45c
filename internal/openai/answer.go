package openai

import (
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"
)

// Usage is the token usage of a complete response.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionBody returns the body of a completion that is not streamed.
func CompletionBody(id string, created time.Time, req Request, text, finishReason string, usage Usage) ([]byte, error) {
	out := completion{ID: id, Created: created.Unix(), Model: req.Model, Usage: usage}
	c := choice{FinishReason: finishReason}
	if req.Chat {
		out.Object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		out.Object = "text_completion"
		c.Text = &text
	}
	out.Choices = []choice{c}
	return json.Marshal(out)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// Models returns the body of the model list.
func Models(names []string) ([]byte, error) {
	out := modelList{Object: "list", Data: make([]modelItem, 0, len(names))}
	for _, name := range names {
		out.Data = append(out.Data, modelItem{ID: name, Object: "model", OwnedBy: "pollenlug"})
	}
	return json.Marshal(out)
}

// Events formats the server-sent events of one response. The parts common to all events are built only once, since a node
// relays thousands of tokens per second.
type Events struct {
	prefix, middle, tail string
}

// NewEvents returns the event formatter for a response.
func NewEvents(id string, created time.Time, req Request) *Events {
	object, field, closing := "text_completion", `"text":`, ""
	if req.Chat {
		object, field, closing = "chat.completion.chunk", `"delta":{"content":`, "}"
	}
	header, _ := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
	}{id, object, created.Unix(), req.Model})
	return &Events{
		prefix: "\ndata: " + string(header[:len(header)-1]) + `,"choices":[{"index":0,` + field,
		middle: closing + `,"finish_reason":`,
		tail:   "}]}\n\n",
	}
}

// AppendToken appends the event of the token at the given offset. The event's id is offset+1, the number of tokens up to
// and including this one.
func (e *Events) AppendToken(dst []byte, offset uint32, token []byte) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendUint(dst, uint64(offset)+1, 10)
	dst = append(dst, e.prefix...)
	dst = appendString(dst, token)
	dst = append(dst, e.middle...)
	dst = append(dst, "null"...)
	return append(dst, e.tail...)
}

// AppendFinish appends the event with the finish reason and the end marker "[DONE]".
func (e *Events) AppendFinish(dst []byte, tokens uint32, reason string) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendUint(dst, uint64(tokens), 10)
	dst = append(dst, e.prefix...)
	dst = append(dst, `""`...)
	dst = append(dst, e.middle...)
	dst = appendString(dst, []byte(reason))
	dst = append(dst, e.tail...)
	return append(dst, "data: [DONE]\n\n"...)
}

const hexDigits = "0123456789abcdef"

// appendString appends text as a JSON string. Invalid UTF-8 is replaced by U+FFFD.
func appendString(dst, text []byte) []byte {
	dst = append(dst, '"')
	for i := 0; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			r, size := utf8.DecodeRune(text[i:])
			dst = utf8.AppendRune(dst, r)
			i += size
			continue
		}
		dst = appendASCII(dst, c)
		i++
	}
	return append(dst, '"')
}

func appendASCII(dst []byte, c byte) []byte {
	switch {
	case c == '"' || c == '\\':
		return append(dst, '\\', c)
	case c == '\n':
		return append(dst, '\\', 'n')
	case c < 0x20:
		return append(dst, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&0xf])
	default:
		return append(dst, c)
	}
}
