package wire

import (
	"errors"
	"fmt"
	"net/http"
)

// ProtocolError reports a client's message that is malformed or not supported.
type ProtocolError struct {
	Status  int    // HTTP status of the response
	Message string // what was found and what is expected; sent to the client
}

// Error returns Message, without the status.
func (err *ProtocolError) Error() string { return err.Message }

func protocolError(status int, format string, args ...any) *ProtocolError {
	return &ProtocolError{Status: status, Message: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) *ProtocolError {
	return protocolError(http.StatusBadRequest, format, args...)
}

// AsProtocolError returns the ProtocolError in an error's chain. Any other error is converted to a bad request.
func AsProtocolError(err error) *ProtocolError {
	var found *ProtocolError
	if errors.As(err, &found) {
		return found
	}
	return badRequest("%s", err.Error())
}
