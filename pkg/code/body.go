package code

import "encoding/json"

// errorBody is the part of an Error that a caller sees. Causes are only logged.
type errorBody struct {
	Code         Code   `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Ran          Ran    `json:"ran"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// Body returns the JSON body that a caller gets for e.
func (e *Error) Body() []byte {
	// The fields are numbers and strings, which always encode.
	body, _ := json.Marshal(map[string]errorBody{"error": {
		Code:         e.Code,
		Name:         e.Code.String(),
		Message:      e.Message,
		Ran:          e.Ran,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}})
	return body
}
