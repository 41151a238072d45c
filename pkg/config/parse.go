package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// parsedFile is one parsed file of the folder.
type parsedFile struct {
	msg *pb.FolderFile
	// policyFields is the set of policy fields that the file sets.
	policyFields map[protoreflect.FieldNumber]bool
}

// maxDepth bounds the nesting depth of JSON values. The schema needs 4 levels.
const maxDepth = 16

// parse parses one file. It checks the text against the schema before protojson decodes it, because protojson reports
// only the position of an error and operators need the field.
func parse(name string, data []byte) (*parsedFile, []Fault) {
	if len(data) > maxFileBytes {
		return nil, []Fault{{name, WholeFile, fmt.Sprintf("has %d bytes, more than %d", len(data), maxFileBytes)}}
	}
	if !utf8.Valid(data) {
		return nil, []Fault{{name, WholeFile, "is not valid UTF-8"}}
	}
	c := &checker{file: name, decoder: json.NewDecoder(bytes.NewReader(data))}
	c.decoder.UseNumber()
	c.policyFields = map[protoreflect.FieldNumber]bool{}
	msg := &pb.FolderFile{}
	if err := c.check(msg.ProtoReflect().Descriptor()); err != nil {
		return nil, append(c.faults, Fault{name, WholeFile, syntaxReason(data, err)})
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	if err := protojson.Unmarshal(data, msg); err != nil {
		// protojson randomly uses non-breaking spaces in its error messages.
		reason := strings.ReplaceAll(err.Error(), "\u00a0", " ")
		return nil, []Fault{{name, WholeFile, reason}}
	}
	return &parsedFile{msg: msg, policyFields: c.policyFields}, nil
}

// syntaxReason returns the reason of a fault for an error of the JSON decoder, with the line number if it is known.
func syntaxReason(data []byte, err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the JSON text ends too early"
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset := min(int(syntax.Offset), len(data))
		line := 1 + bytes.Count(data[:offset], []byte{'\n'})
		return fmt.Sprintf("line %d: %s", line, syntax.Error())
	}
	return err.Error()
}

// checker validates JSON text against a message type and collects faults with their field paths.
type checker struct {
	file         string
	decoder      *json.Decoder
	faults       []Fault
	policyFields map[protoreflect.FieldNumber]bool
}

var (
	plainKeyPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

	errTrailingData = errors.New("text after the end of the JSON object")
	errTooDeep      = errors.New("values are nested too deeply")
)

// check returns an error for text that is not a single JSON value or is nested deeper than maxDepth; deviations from
// the schema become faults.
func (c *checker) check(message protoreflect.MessageDescriptor) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		c.fault("", "must be a JSON object")
		return nil
	}
	if err := c.object(message, "", 1); err != nil {
		return err
	}
	if _, err := c.decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

func (c *checker) fault(field, reason string) {
	if field == "" {
		field = WholeFile
	}
	c.faults = append(c.faults, Fault{c.file, field, reason})
}

// object checks the fields of an object whose opening brace has already been read.
func (c *checker) object(message protoreflect.MessageDescriptor, path string, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	seen := map[protoreflect.FieldNumber]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		key := token.(string) // the decoder accepts only strings as keys
		field := fieldByKey(message, key)
		if field == nil {
			c.fault(joinPath(path, quoteKey(key)), "unknown field")
			if err := c.skip(depth); err != nil {
				return err
			}
			continue
		}
		fieldPath := joinPath(path, string(field.Name()))
		if seen[field.Number()] {
			c.fault(fieldPath, "field is stated twice")
		}
		seen[field.Number()] = true
		if err := c.field(field, fieldPath, depth); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *checker) field(field protoreflect.FieldDescriptor, path string, depth int) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	if token == nil {
		return nil // null means unset
	}
	if field.Parent().Name() == "Policy" {
		c.policyFields[field.Number()] = true
	}
	if !field.IsList() {
		return c.value(field, token, path, depth)
	}
	if token != json.Delim('[') {
		c.fault(path, "must be a list")
		return c.skipRest(token, depth)
	}
	for i := 0; c.decoder.More(); i++ {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		if err := c.value(field, token, fmt.Sprintf("%s[%d]", path, i), depth); err != nil {
			return err
		}
	}
	_, err = c.decoder.Token()
	return err
}

// value checks one value whose first token has already been read.
func (c *checker) value(field protoreflect.FieldDescriptor, token json.Token, path string, depth int) error {
	if field.Kind() == protoreflect.MessageKind {
		if token == json.Delim('{') {
			return c.object(field.Message(), path, depth+1)
		}
		c.fault(path, "must be an object")
		return c.skipRest(token, depth)
	}
	if reason := scalarReason(field, token); reason != "" {
		c.fault(path, reason)
	}
	return c.skipRest(token, depth)
}

// scalarReason returns why the token is not a valid value of the field, or "" if it is valid.
func scalarReason(field protoreflect.FieldDescriptor, token json.Token) string {
	switch field.Kind() {
	case protoreflect.BoolKind:
		if _, ok := token.(bool); !ok {
			return "must be true or false"
		}
	case protoreflect.StringKind:
		if _, ok := token.(string); !ok {
			return "must be a string"
		}
	case protoreflect.EnumKind:
		return enumReason(field.Enum(), token)
	case protoreflect.Uint32Kind:
		return numberReason(token, 32, math.MaxUint32)
	case protoreflect.Uint64Kind:
		return numberReason(token, 64, math.MaxUint64)
	}
	return ""
}

func enumReason(enum protoreflect.EnumDescriptor, token json.Token) string {
	text, ok := token.(string)
	if ok && enum.Values().ByName(protoreflect.Name(text)) != nil {
		return ""
	}
	var names []string
	for i := 1; i < enum.Values().Len(); i++ {
		names = append(names, string(enum.Values().Get(i).Name()))
	}
	return "must be one of " + strings.Join(names, ", ")
}

// numberReason accepts unsigned integers, also as strings, because protojson writes 64-bit integers as strings.
func numberReason(token json.Token, bits int, maxValue uint64) string {
	var text string
	switch value := token.(type) {
	case json.Number:
		text = value.String()
	case string:
		text = value
	}
	if _, err := strconv.ParseUint(text, 10, bits); err != nil {
		return fmt.Sprintf("must be a whole number from 0 to %d", maxValue)
	}
	return ""
}

// skip reads and discards one value.
func (c *checker) skip(depth int) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	return c.skipRest(token, depth)
}

// skipRest reads and discards the rest of a value whose first token has already been read.
func (c *checker) skipRest(token json.Token, depth int) error {
	if token != json.Delim('{') && token != json.Delim('[') {
		return nil
	}
	if depth > maxDepth {
		return errTooDeep
	}
	for c.decoder.More() {
		if err := c.skip(depth + 1); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// fieldByKey accepts the field name of the schema and its lowerCamelCase form, as protojson does.
func fieldByKey(message protoreflect.MessageDescriptor, key string) protoreflect.FieldDescriptor {
	if field := message.Fields().ByName(protoreflect.Name(key)); field != nil {
		return field
	}
	return message.Fields().ByJSONName(key)
}

// quoteKey quotes a key whose characters or length would make the line of a fault unreadable.
func quoteKey(key string) string {
	if plainKeyPattern.MatchString(key) {
		return key
	}
	return strconv.Quote(key)
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
