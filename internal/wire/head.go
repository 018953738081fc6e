package wire

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// uniqueFields are the fields that must not occur twice in a head, because the message would be ambiguous.
var uniqueFields = []string{
	"content-length", "transfer-encoding", "host", "expect", "connection",
	strings.ToLower(headerQueryID), strings.ToLower(headerDeadline), strings.ToLower(headerTenant),
}

// relevantFields are the other fields that have a meaning here.
var relevantFields = []string{"idempotency-key", "trailer"}

// checkHead validates the raw bytes of a head, because http.ReadRequest repairs or hides what makes the end of a
// request ambiguous. It protects against request smuggling, where this process and a proxy in front of it disagree
// on where a request's body ends. Folded lines and repeated uniqueFields are rejected.
//
// It returns the head without the fields that have no meaning here. A parsed field takes many times its bytes, so that a
// head of very many short ones would take much memory.
func checkHead(head []byte) (relevant []byte, err error) {
	requestLine, fields, _ := bytes.Cut(bytes.TrimRight(head, "\r\n"), []byte("\n"))
	relevant = append(append(relevant, requestLine...), '\n')
	values := map[string]string{}
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, []byte("\n"))
		isRelevant, err := checkField(bytes.TrimSuffix(line, []byte("\r")), values)
		if err != nil {
			return nil, err
		}
		if isRelevant {
			relevant = append(append(relevant, line...), '\n')
		}
	}
	return append(relevant, "\r\n"...), checkLength(values)
}

// checkField validates a line of the head. It adds the value of a unique field to values, under the field's name in lower
// case, and reports whether the field has a meaning here.
func checkField(line []byte, values map[string]string) (isRelevant bool, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsFunc(name, isInvalidNameCharacter) {
		return false, badRequest("a line of the head is no field: %.40q", line)
	}
	if bytes.ContainsFunc(value, isInvalidValueCharacter) {
		return false, badRequest("the field %.40q holds what no field may", name)
	}
	unique := indexFold(uniqueFields, name)
	if unique < 0 {
		return indexFold(relevantFields, name) >= 0, nil
	}
	key := uniqueFields[unique]
	if _, seen := values[key]; seen {
		return false, badRequest("the field %s stands twice", key)
	}
	values[key] = string(bytes.Trim(value, " \t"))
	return true, nil
}

// indexFold returns the index of a name in a list, whatever its case, or -1.
func indexFold(names []string, name []byte) int {
	return slices.IndexFunc(names, func(listed string) bool {
		return len(listed) == len(name) && strings.EqualFold(listed, string(name))
	})
}

func isInvalidNameCharacter(character rune) bool { return !httpguts.IsTokenRune(character) }

func isInvalidValueCharacter(character rune) bool {
	return character < ' ' && character != '\t' || character == 0x7f
}

// checkLength checks that the fields state the body's length unambiguously.
func checkLength(values map[string]string) error {
	length, hasLength := values["content-length"]
	encoding, hasEncoding := values["transfer-encoding"]
	switch {
	case hasLength && hasEncoding:
		return badRequest("both Content-Length and Transfer-Encoding")
	case hasEncoding && !strings.EqualFold(encoding, "chunked"):
		return badRequest("no other Transfer-Encoding than chunked")
	case hasLength && (length == "" || strings.Trim(length, "0123456789") != ""):
		return badRequest("Content-Length is no number")
	case hasLength && len(strings.TrimLeft(length, "0")) > len(strconv.Itoa(MaxBody)):
		return protocolError(http.StatusRequestEntityTooLarge, "the body is over %d bytes", MaxBody)
	}
	return nil
}
