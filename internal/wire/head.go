package wire

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// singleFields may not stand twice in a head: it would mean several things.
var singleFields = []string{
	"content-length", "transfer-encoding", "host", "expect", "connection",
	strings.ToLower(headerQueryID), strings.ToLower(headerDeadline), strings.ToLower(headerTenant),
}

// checkHead looks at a head's own bytes, as http.ReadRequest mends or hides what leaves its end in doubt. It
// guards against request smuggling: a request hidden in what this process takes for the body of another, and a
// proxy before it does not. Clients that fold lines or repeat such fields are refused.
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

// checkField checks a line of the head and adds its value to those seen, by the name in lower case.
func checkField(line string, values map[string]string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsFunc(name, isNoNameCharacter) {
		return badRequest("a line of the head is no field: %.40q", line)
	}
	if strings.ContainsFunc(value, isNoValueCharacter) {
		return badRequest("the field %.40q holds what no field may", name)
	}
	name = strings.ToLower(name)
	if _, seen := values[name]; seen && slices.Contains(singleFields, name) {
		return badRequest("the field %s stands twice", name)
	}
	values[name] = strings.Trim(value, " \t")
	return nil
}

func isNoNameCharacter(character rune) bool { return character <= ' ' || character >= 0x7f }

func isNoValueCharacter(character rune) bool {
	return character < ' ' && character != '\t' || character == 0x7f
}

// checkLength checks that the fields state the body's length in one way.
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
