package wire

import (
	"errors"
	"fmt"
	"net/http"
)

// ProtocolError is a client's message that cannot be used.
type ProtocolError struct {
	Status  int    // the HTTP status that answers it
	Message string // what was found and what is wanted, for the client to read
}

// Error is the message.
func (err *ProtocolError) Error() string { return err.Message }

func protocolError(status int, format string, args ...any) *ProtocolError {
	return &ProtocolError{Status: status, Message: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) *ProtocolError {
	return protocolError(http.StatusBadRequest, format, args...)
}

// AsProtocolError is the ProtocolError in an error; another error counts as a bad request.
func AsProtocolError(err error) *ProtocolError {
	var found *ProtocolError
	if errors.As(err, &found) {
		return found
	}
	return badRequest("%s", err.Error())
}
