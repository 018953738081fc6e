package wire

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// uniqueFields are the fields that must not occur twice in a head, because the message would be ambiguous.
var uniqueFields = []string{
	"content-length", "transfer-encoding", "host", "expect", "connection",
	strings.ToLower(headerQueryID), strings.ToLower(headerDeadline), strings.ToLower(headerTenant),
}

// checkHead validates the raw bytes of a head, because http.ReadRequest repairs or hides what makes the end of a
// request ambiguous. It protects against request smuggling, where this process and a proxy in front of it disagree
// on where a request's body ends. Folded lines and repeated uniqueFields are rejected.
func checkHead(head []byte) error {
	lines := strings.Split(strings.TrimRight(string(head), "\r\n"), "\n")
	values := map[string]string{}
	for _, line := range lines[1:] {
		if err := checkField(strings.TrimSuffix(line, "\r"), values); err != nil {
			return err
		}
	}
	return checkLength(values)
}

// checkField validates a line of the head and adds its value to values, under the field's name in lower case.
func checkField(line string, values map[string]string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsFunc(name, isInvalidNameCharacter) {
		return badRequest("a line of the head is no field: %.40q", line)
	}
	if strings.ContainsFunc(value, isInvalidValueCharacter) {
		return badRequest("the field %.40q holds what no field may", name)
	}
	name = strings.ToLower(name)
	if _, seen := values[name]; seen && slices.Contains(uniqueFields, name) {
		return badRequest("the field %s stands twice", name)
	}
	values[name] = strings.Trim(value, " \t")
	return nil
}

func isInvalidNameCharacter(character rune) bool { return character <= ' ' || character >= 0x7f }

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
