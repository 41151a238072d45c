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

// parsedFile is one file of the folder.
type parsedFile struct {
	msg *pb.FolderFile
	// policyFields has the numbers of the policy fields that the file states.
	policyFields map[protoreflect.FieldNumber]bool
}

// maxDepth bounds the nesting of values. The schema needs 4 levels.
const maxDepth = 16

// parse reads one file. The text is first checked against the schema, because protojson names only a position
// for a fault and operators need the field; protojson then decodes it.
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
		// protojson separates words with a random choice of space characters.
		reason := strings.ReplaceAll(err.Error(), "\u00a0", " ")
		return nil, []Fault{{name, WholeFile, reason}}
	}
	return &parsedFile{msg: msg, policyFields: c.policyFields}, nil
}

// syntaxReason adds the line to an error of the JSON decoder.
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

// checker compares JSON text with a message type and collects faults with their field.
type checker struct {
	file         string
	decoder      *json.Decoder
	faults       []Fault
	policyFields map[protoreflect.FieldNumber]bool
}

var (
	plainKey = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

	errTrailing = errors.New("text after the end of the JSON object")
	errDepth    = errors.New("values are nested too deeply")
)

// check returns an error only for text that is not JSON; all else becomes a fault.
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
		return errTrailing
	}
	return nil
}

func (c *checker) fault(field, reason string) {
	if field == "" {
		field = WholeFile
	}
	c.faults = append(c.faults, Fault{c.file, field, reason})
}

// object checks the fields of an object whose opening brace has been read.
func (c *checker) object(message protoreflect.MessageDescriptor, path string, depth int) error {
	if depth > maxDepth {
		return errDepth
	}
	seen := map[protoreflect.FieldNumber]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		key := token.(string) // the decoder accepts only strings as keys
		field := fieldByName(message, key)
		if field == nil {
			c.fault(join(path, printable(key)), "unknown field")
			if err := c.skip(depth); err != nil {
				return err
			}
			continue
		}
		here := join(path, string(field.Name()))
		if seen[field.Number()] {
			c.fault(here, "field is stated twice")
		}
		seen[field.Number()] = true
		if err := c.field(field, here, depth); err != nil {
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
		return c.skipFrom(token, depth)
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

// value checks one value whose first token has been read.
func (c *checker) value(field protoreflect.FieldDescriptor, token json.Token, path string, depth int) error {
	if field.Kind() == protoreflect.MessageKind {
		if token == json.Delim('{') {
			return c.object(field.Message(), path, depth+1)
		}
		c.fault(path, "must be an object")
		return c.skipFrom(token, depth)
	}
	if reason := scalarReason(field, token); reason != "" {
		c.fault(path, reason)
	}
	return c.skipFrom(token, depth)
}

// scalarReason returns why the token is not a value of the field, or "".
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

// numberReason accepts whole numbers, also as strings, which is how protojson prints 64-bit numbers.
func numberReason(token json.Token, bits int, largest uint64) string {
	var text string
	switch value := token.(type) {
	case json.Number:
		text = value.String()
	case string:
		text = value
	}
	if _, err := strconv.ParseUint(text, 10, bits); err != nil {
		return fmt.Sprintf("must be a whole number from 0 to %d", largest)
	}
	return ""
}

// skip reads one value.
func (c *checker) skip(depth int) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	return c.skipFrom(token, depth)
}

// skipFrom reads the rest of a value whose first token has been read.
func (c *checker) skipFrom(token json.Token, depth int) error {
	if token != json.Delim('{') && token != json.Delim('[') {
		return nil
	}
	if depth > maxDepth {
		return errDepth
	}
	for c.decoder.More() {
		if err := c.skip(depth + 1); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// fieldByName accepts the name of the schema and its lower camel case form, as protojson does.
func fieldByName(message protoreflect.MessageDescriptor, key string) protoreflect.FieldDescriptor {
	if field := message.Fields().ByName(protoreflect.Name(key)); field != nil {
		return field
	}
	return message.Fields().ByJSONName(key)
}

// printable quotes a key that would make the line of a fault unreadable.
func printable(key string) string {
	if plainKey.MatchString(key) {
		return key
	}
	return strconv.Quote(key)
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
