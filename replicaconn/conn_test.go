package replicaconn

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"terntray/connpool"
	"terntray/internal/netconn"
)

// A connect fails because this machine has no descriptor left. The pool must recognise that, or the outcome would
// count against the replica; the log must show the original error.
func TestPoolRecognisesLocalShortage(t *testing.T) {
	cause := fmt.Errorf("%w: %w", netconn.ErrOSResourceShortage, syscall.EMFILE)
	err := error(&shortageError{cause})
	if !errors.Is(err, connpool.ErrOSResourceShortage) || !errors.Is(err, syscall.EMFILE) {
		t.Errorf("%v is not recognised as a shortage, or does not wrap its cause", err)
	}
	if err.Error() != cause.Error() {
		t.Errorf("text is %q, want %q", err, cause)
	}
}
